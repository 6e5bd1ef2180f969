package elector_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// record4 and record5 are primary records of consecutive terms, changing5 the one
	// in between.
	record4   = `{"term":4,"primary":"s0","number":1}`
	changing5 = `{"term":4,"primary":"s0","number":2,"change":"failure"}`
	record5   = `{"term":5,"primary":"s1","number":2}`
	// firstEraHost is this daemon's registration in the first era, and secondEraHost the
	// one in the second era, if it held a lease when that began.
	firstEraHost  = `{"name":"d0","domain":"a","incarnation":7,"address":"10.0.0.1:1","era":1}`
	secondEraHost = `{"name":"d0","domain":"a","incarnation":7,"address":"10.0.0.1:1","era":2,"held":true}`
	otherHost     = `{"name":"d1","domain":"a","incarnation":1,"address":"10.0.0.9:1","era":1}`
)

func row(key string, version int64, value string) elector.Row {
	return elector.Row{Key: key, Version: version, Value: []byte(value)}
}

// newEraElector returns an Elector that has read rows in the first era, as of version 80.
func newEraElector(now timekeeper.Millis, rows ...elector.Row) *elector.Elector {
	e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{LastResponse: now, Quiesced: true}
	}})
	e.SetServers(now, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}, {ID: "s2", Group: "g"}})
	e.SetRows(now, now, append(rows, row("host/d0", 2, firstEraHost)), elector.Revision{Era: 1, Version: 80})
	return e
}

// writes returns the values that commands write by row key, and the conditions.
func writes(commands []elector.Command) (set map[string]string, expect []elector.Row) {
	set = map[string]string{}
	for _, command := range commands {
		if write, ok := command.(elector.Write); ok {
			for _, row := range write.Tx.Set {
				set[row.Key] = string(row.Value)
			}
			expect = append(expect, write.Tx.Expect...)
		}
	}
	return set, expect
}

// TestRestoredRecord guards against a change of primary that is undone because the store
// has lost it, and against one that is lost for the other daemons.
func TestRestoredRecord(t *testing.T) {
	tests := map[string]struct {
		known, restored []elector.Row
		wantServer      string
		wantWritten     string
	}{
		"a finished change is kept and written back": {
			known: []elector.Row{row("reign/g", 70, record5)}, restored: []elector.Row{row("reign/g", 30, record4)},
			wantServer: "s1", wantWritten: record5,
		},
		"a change under way in the copy is known to be finished": {
			known: []elector.Row{row("reign/g", 70, record5)}, restored: []elector.Row{row("reign/g", 30, changing5)},
			wantServer: "s1", wantWritten: record5,
		},
		"the copy has no record": {
			known: []elector.Row{row("reign/g", 70, record5)}, wantServer: "s1", wantWritten: record5,
		},
		"the same version with a later change": {
			known: []elector.Row{row("reign/g", 70, record4)}, restored: []elector.Row{row("reign/g", 70, record5)}, wantServer: "s1",
		},
		"nothing was lost": {
			known: []elector.Row{row("reign/g", 30, record4)}, restored: []elector.Row{row("reign/g", 30, record4)}, wantServer: "s0",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEraElector(1000, test.known...)
			set, expect := writes(e.SetRows(2000, 2000, append(test.restored, row("host/d0", 2, firstEraHost)), elector.Revision{Era: 2, Version: 75}))
			if got := e.PrimaryLeases(2000)["g"]; got.Server != test.wantServer || got.Paused {
				t.Errorf("got %+v, want %s", got, test.wantServer)
			}
			if set["reign/g"] != test.wantWritten {
				t.Errorf("written back %q, want %q", set["reign/g"], test.wantWritten)
			}
			if _, marked := set["era/2"]; !marked {
				t.Errorf("written %v, want the row of the era", set)
			}
			if !slices.ContainsFunc(expect, func(r elector.Row) bool { return r.Key == "era/3" && r.Version == 0 }) {
				t.Errorf("conditions %v, want that the next era has not begun", expect)
			}
		})
	}
}

// TestLeaseAfterRestore guards against a lease that ends with a restore of the store, and
// against one that is renewed or granted by rows that lack the last changes.
func TestLeaseAfterRestore(t *testing.T) {
	const lease timekeeper.Millis = 14_000
	marker := row("era/2", 76, `{"host":"d1"}`)
	tests := map[string]struct {
		// heldUntil is when the lease of the first era ends; 0 for a daemon that starts.
		heldUntil timekeeper.Millis
		restored  []elector.Row
		want      timekeeper.Millis
	}{
		"not registered again":                    {heldUntil: 60_000, restored: []elector.Row{row("host/d0", 2, firstEraHost)}, want: 60_000},
		"registration lost":                       {heldUntil: 60_000, want: 60_000},
		"registered again":                        {heldUntil: 60_000, restored: []elector.Row{row("host/d0", 77, secondEraHost)}, want: 50_000 + lease},
		"lease ended, rows not recovered":         {heldUntil: 49_000, restored: []elector.Row{row("host/d0", 77, strings.Replace(secondEraHost, `,"held":true`, "", 1))}},
		"lease ended, rows recovered":             {heldUntil: 49_000, restored: []elector.Row{marker, row("host/d0", 77, strings.Replace(secondEraHost, `,"held":true`, "", 1))}, want: 50_000 + lease},
		"started after the restore":               {restored: []elector.Row{row("host/d0", 77, strings.Replace(secondEraHost, `,"held":true`, "", 1))}},
		"started after the restore, recovered":    {restored: []elector.Row{marker, row("host/d0", 77, strings.Replace(secondEraHost, `,"held":true`, "", 1))}, want: 50_000 + lease},
		"started, its earlier registration in it": {restored: []elector.Row{marker, row("host/d0", 2, firstEraHost)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth { return elector.PrimaryHealth{} }})
			if test.heldUntil > 0 {
				e = newEraElector(test.heldUntil - lease)
			}
			e.SetServers(50_000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}})
			e.SetRows(50_000, 50_000, test.restored, elector.Revision{Era: 2, Version: 78})
			e.SetRows(50_000, 50_000, test.restored, elector.Revision{Era: 2, Version: 78})
			if got := e.PrimaryLeases(50_000)["g"].ValidUntil; got != test.want {
				t.Errorf("lease valid until %d, want %d", got, test.want)
			}
		})
	}
}

// TestRowsOfAnotherEra guards against rows and results of an earlier era that arrive
// late, and against changes that are applied to the rows of another era.
func TestRowsOfAnotherEra(t *testing.T) {
	later := row("reign/g", 90, `{"term":9,"primary":"s2","number":9}`)
	tests := map[string]func(e *elector.Elector){
		"a full read of the earlier era": func(e *elector.Elector) {
			e.SetRows(2100, 2050, []elector.Row{later}, elector.Revision{Era: 1, Version: 95})
		},
		"changes of the earlier era": func(e *elector.Elector) {
			e.ApplyChanges(2100, []elector.Row{later}, elector.Revision{Era: 1, Version: 95})
		},
		"changes of the next era": func(e *elector.Elector) {
			e.ApplyChanges(2100, []elector.Row{later}, elector.Revision{Era: 3, Version: 95})
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEraElector(1000, row("reign/g", 70, record4))
			e.SetRows(2000, 2000, []elector.Row{row("host/d0", 2, firstEraHost)}, elector.Revision{Era: 2, Version: 75})
			act(e)
			if got := e.PrimaryLeases(2100)["g"].Server; got != "s0" {
				t.Errorf("primary %s, want s0", got)
			}
		})
	}
}

// TestNumbersAfterRestore guards against a fencing token or change number that is given
// out twice because the store has lost the rows with the last ones.
func TestNumbersAfterRestore(t *testing.T) {
	failing := func(string, string) elector.PrimaryHealth { return elector.PrimaryHealth{UnresponsiveSince: 1} }
	e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: failing})
	e.SetServers(1000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	rows := []elector.Row{row("era/2", 76, `{"host":"d1"}`), row("host/d0", 77, strings.Replace(secondEraHost, `,"held":true`, "", 1)), row("duty", 20, `{"holder":"d0","fence":3}`)}
	set, _ := writes(e.SetRows(2000, 2000, rows, elector.Revision{Era: 2, Version: 78}))
	if want := `{"holder":"d0","fence":1048577}`; set["duty"] != want {
		t.Fatalf("duty %q, want %q", set["duty"], want)
	}
	rows[2] = row("duty", 79, set["duty"])
	commands := e.SetRows(2100, 2100, rows, elector.Revision{Era: 2, Version: 79})
	for range 4 {
		for _, command := range commands {
			if inspect, ok := command.(elector.Inspect); ok {
				commands = append(commands, e.InspectFinished(2100, inspect.ID, elector.ServerStatus{Term: 1, Received: sequencer.Position{Term: 1, Offset: 5}}, nil)...)
			}
		}
	}
	if set, _ = writes(commands); !strings.Contains(set["reign/g"], `"number":1048577`) {
		t.Errorf("record %q, want a change number of the second era", set["reign/g"])
	}
}

// TestHeartbeatsAfterRestore guards against live daemons that are revoked because a
// restored store shows older heartbeats of theirs, and against dead ones that seem live.
func TestHeartbeatsAfterRestore(t *testing.T) {
	type reading struct {
		era   int64
		count int64
	}
	tests := map[string]struct {
		readings map[timekeeper.Millis]reading
		// wantLive is whether d1 counts as live at the end.
		wantLive, wantRevoked bool
	}{
		"live: it writes again after two restores": {
			readings: map[timekeeper.Millis]reading{1000: {1, 1}, 4000: {1, 2}, 8000: {2, 3}, 11_200: {3, 1}, 13_000: {3, 6}}, wantLive: true,
		},
		"live: its heartbeat is missing from the copy": {
			readings: map[timekeeper.Millis]reading{1000: {1, 1}, 4000: {1, 2}, 8000: {2, 0}, 11_200: {2, 6}, 13_000: {2, 7}}, wantLive: true,
		},
		"dead before the restore": {
			readings: map[timekeeper.Millis]reading{1000: {1, 1}, 2000: {1, 2}, 5000: {1, 2}, 9200: {1, 2}, 11_000: {2, 1}, 13_000: {2, 1}}, wantRevoked: true,
		},
		"dead at the restore": {
			readings: map[timekeeper.Millis]reading{1000: {1, 1}, 3000: {1, 2}, 5000: {2, 1}, 8000: {2, 1}, 10_500: {2, 1}, 13_000: {2, 1}}, wantRevoked: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEraElector(1000, row("host/d1", 3, otherHost))
			var revoked []string
			era := int64(1)
			for now := timekeeper.Millis(1000); now <= 13_100; now += 100 {
				reading, read := test.readings[now]
				if read && reading.era > era {
					era = reading.era
					self := strings.Replace(secondEraHost, `"era":2`, `"era":`+string(rune('0'+era)), 1)
					rows := []elector.Row{row("era/"+string(rune('0'+era)), 76, `{}`), row("host/d0", 77, self), row("host/d1", 3, otherHost)}
					e.SetRows(now, now, rows, elector.Revision{Era: era, Version: 78})
				}
				if read {
					heartbeats := map[string]elector.Heartbeat{"d0": {Count: int64(now)}}
					if reading.count > 0 {
						heartbeats["d1"] = elector.Heartbeat{Incarnation: 1, Count: reading.count}
					}
					e.SetHeartbeats(now, now, reading.era, heartbeats)
				}
				revoked = append(revoked, revokedKeys(e.Tick(now))...)
			}
			if len(revoked) > 0 != test.wantRevoked {
				t.Errorf("revoked %v, want some: %v", revoked, test.wantRevoked)
			}
			if live := len(e.LiveHosts(13_100)) == 2; live != test.wantLive {
				t.Errorf("d1 is live: %v, want %v", live, test.wantLive)
			}
		})
	}
}

// ackWrites returns the acks that commands write, and the IDs of these writes.
func ackWrites(commands []elector.Command) (acks []string, ids []uint64) {
	for _, command := range commands {
		if write, ok := command.(elector.Write); ok && len(write.Tx.Set) == 1 && write.Tx.Set[0].Key == "ack/g/d0" {
			acks, ids = append(acks, string(write.Tx.Set[0].Value)), append(ids, write.ID)
		}
	}
	return acks, ids
}

// TestAckAfterRestore guards against a change that waits for an Ack which the store has
// lost, against one that is cancelled although its successor may be lost, and against a
// daemon that nobody waits for because the store has forgotten it.
func TestAckAfterRestore(t *testing.T) {
	tests := map[string]struct {
		// finishedAt is when the write of the first Ack finishes; the era begins at 2000.
		finishedAt timekeeper.Millis
		responds   bool
	}{
		"acknowledged before the restore":             {finishedAt: 1500},
		"acknowledged before, answered after":         {finishedAt: 2500},
		"rejected before the restore":                 {finishedAt: 1500, responds: true},
		"rejected before the restore, answered after": {finishedAt: 2500, responds: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			health := elector.PrimaryHealth{UnresponsiveSince: 1, Quiesced: true}
			if test.responds {
				health = elector.PrimaryHealth{LastResponse: 1000, Quiesced: true}
			}
			e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth { return health }})
			e.SetServers(1000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
			rows := []elector.Row{row("host/d0", 2, firstEraHost), row("reign/g", 30, changing5)}
			forgotten := row("host/d7", 31, strings.ReplaceAll(otherHost, "d1", "d7"))
			acks, ids := ackWrites(e.SetRows(1000, 1000, append(rows, forgotten), elector.Revision{Era: 1, Version: 80}))
			if len(acks) != 1 || strings.Contains(acks[0], "objects") != test.responds {
				t.Fatalf("acks %v, want one that rejects: %v", acks, test.responds)
			}
			health.LastResponse *= 2
			acks = nil
			for now := timekeeper.Millis(1500); now <= 4000; now += 100 {
				var commands []elector.Command
				if now == 2000 {
					commands = e.SetRows(now, now, rows, elector.Revision{Era: 2, Version: 40})
				}
				if now == test.finishedAt {
					commands = append(commands, e.WriteFinished(now, ids[0], elector.Applied, elector.Revision{Era: 1, Version: 81})...)
				}
				later, _ := ackWrites(append(commands, e.Tick(now)...))
				acks = append(acks, later...)
			}
			if len(acks) != 1 || strings.Contains(acks[0], "objects") {
				t.Fatalf("acks after the restore: %v, want one that releases the primary", acks)
			}
			if !strings.Contains(acks[0], `"complete":true,"absent":["d7"]`) {
				t.Errorf("ack %s, want the forgotten daemon d7 in it", acks[0])
			}
		})
	}
}

// TestChangeWaitsAfterRestore guards against a promotion while a daemon that the store has
// forgotten still uses the old primary.
func TestChangeWaitsAfterRestore(t *testing.T) {
	const (
		announced = `{"term":4,"primary":"s0","number":1048577,"change":"failure"}`
		duty      = `{"holder":"d0","fence":1048577}`
		joined    = `{"name":"d1","domain":"a","incarnation":1,"address":"10.0.0.9:1","era":2}`
	)
	ack := func(fields string) string { return `{"incarnation":1,"number":1048577` + fields + `}` }
	tests := map[string]struct {
		// known are the rows of the first era; nil for a daemon that starts.
		known       []elector.Row
		record, ack string
		want        bool
	}{
		"all daemons have released the primary": {known: []elector.Row{row("host/d1", 3, otherHost)}, record: announced, ack: ack(`,"complete":true`), want: true},
		"a daemon is remembered by another":     {known: []elector.Row{row("host/d1", 3, otherHost)}, record: announced, ack: ack(`,"complete":true,"absent":["d7"]`)},
		"a daemon is remembered":                {known: []elector.Row{row("host/d1", 3, otherHost), row("host/d7", 3, strings.ReplaceAll(otherHost, "d1", "d7"))}, record: announced, ack: ack("")},
		"nobody remembers the daemons":          {record: announced, ack: ack("")},
		"another remembers the daemons":         {record: announced, ack: ack(`,"complete":true`), want: true},
		"the record is not written back yet": {
			known: []elector.Row{row("host/d1", 3, otherHost), row("reign/g", 30, announced)}, record: record4, ack: ack(`,"complete":true`),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
				return elector.PrimaryHealth{UnresponsiveSince: 1, Quiesced: true}
			}})
			e.SetServers(1000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
			host := strings.Replace(secondEraHost, `,"held":true`, "", 1)
			if test.known != nil {
				host = secondEraHost
				e.SetRows(1000, 1000, append(test.known, row("host/d0", 2, firstEraHost)), elector.Revision{Era: 1, Version: 80})
			}
			rows := []elector.Row{
				row("era/2", 76, `{"host":"d1"}`), row("host/d0", 77, host), row("host/d1", 78, joined), row("duty", 79, duty), row("reign/g", 80, test.record),
				row("ack/g/d0", 81, strings.Replace(ack(""), `"incarnation":1`, `"incarnation":7`, 1)), row("ack/g/d1", 82, test.ack),
			}
			commands := e.SetRows(2000, 2000, rows, elector.Revision{Era: 2, Version: 82})
			for now := timekeeper.Millis(2100); now < 3000; now += 100 {
				commands = append(commands, e.Tick(now)...)
			}
			got := slices.ContainsFunc(commands, func(c elector.Command) bool {
				inspect, ok := c.(elector.Inspect)
				return ok && inspect.Request.Action == elector.ActionStepDown
			})
			if got != test.want {
				t.Errorf("the change goes on: %v, want %v", got, test.want)
			}
		})
	}
}

// TestRowsOfTheCopy guards against a daemon that has left and is waited for again, and
// against a failover coordinator that the store has forgotten.
func TestRowsOfTheCopy(t *testing.T) {
	e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{UnresponsiveSince: 1}
	}})
	e.SetServers(1000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	known := []elector.Row{row("host/d0", 2, firstEraHost), row("host/d1", 3, otherHost), row("duty", 70, `{"holder":"d1","fence":9}`)}
	e.SetRows(1000, 1000, known, elector.Revision{Era: 1, Version: 80})
	e.SetHeartbeats(1000, 1000, 1, map[string]elector.Heartbeat{"d0": {Count: 1}, "d1": {Count: 1}})
	copied := []elector.Row{
		row("era/2", 76, `{"host":"d1"}`), row("host/d0", 77, secondEraHost), row("host/d1", 3, otherHost),
		row("host/d9", 4, strings.ReplaceAll(otherHost, "d1", "d9")), row("duty", 40, `{"holder":"d0","fence":3}`),
	}
	commands := e.SetRows(2000, 2000, copied, elector.Revision{Era: 2, Version: 78})
	e.SetHeartbeats(2100, 2100, 2, map[string]elector.Heartbeat{"d0": {Count: 2}, "d1": {Count: 2}})
	commands = append(commands, e.Tick(2200)...)
	var deleted []string
	for _, command := range commands {
		if write, ok := command.(elector.Write); ok {
			deleted = append(deleted, write.Tx.Delete...)
		}
	}
	if deleted = slices.Compact(deleted); !slices.Equal(deleted, []string{"host/d9"}) {
		t.Errorf("deleted %v, want the registration of d9", deleted)
	}
	if set, _ := writes(commands); set["duty"] != "" {
		t.Errorf("duty %q, want no request while the last coordinator d1 is live", set["duty"])
	}
}

// TestLateStatusAfterRestore guards against a panic when a server's status arrives after
// the change that asked for it was ended by a restore.
func TestLateStatusAfterRestore(t *testing.T) {
	e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{UnresponsiveSince: 1}
	}})
	e.SetServers(1000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	rows := []elector.Row{row("host/d0", 2, firstEraHost), row("duty", 3, `{"holder":"d0","fence":3}`)}
	commands := e.SetRows(1000, 1000, rows, elector.Revision{Era: 1, Version: 80})
	e.SetRows(1100, 1100, rows, elector.Revision{Era: 2, Version: 40})
	inspects := 0
	for _, command := range commands {
		if inspect, ok := command.(elector.Inspect); ok {
			inspects++
			if set, _ := writes(e.InspectFinished(1200, inspect.ID, elector.ServerStatus{Term: 1}, nil)); len(set) > 0 {
				t.Errorf("written %v, want nothing", set)
			}
		}
	}
	if inspects == 0 {
		t.Error("no server was asked for its status")
	}
}

// TestLostEndOfChange guards against a standstill when the store has lost the end of a
// change that its coordinator remembers as finished.
func TestLostEndOfChange(t *testing.T) {
	e := elector.New(elector.DefaultSettings(self), elector.Deps{PrimaryHealth: func(string, string) elector.PrimaryHealth {
		return elector.PrimaryHealth{UnresponsiveSince: 1, Quiesced: true}
	}})
	e.SetServers(1000, []cataloger.Server{{ID: "s0", Group: "g", Primary: true}, {ID: "s1", Group: "g"}})
	rows := []elector.Row{
		row("host/d0", 2, firstEraHost), row("reign/g", 30, changing5), row("duty", 3, `{"holder":"d0","fence":3}`),
		row("ack/g/d0", 31, `{"incarnation":7,"number":2,"objects":true}`),
	}
	commands := append(e.SetRows(1000, 1000, rows, elector.Revision{Era: 1, Version: 80}), e.Tick(1500)...)
	ended := false
	for _, command := range commands {
		if write, ok := command.(elector.Write); ok && len(write.Tx.Set) == 1 && write.Tx.Set[0].Key == "reign/g" {
			ended = true
			e.WriteFinished(1600, write.ID, elector.Applied, elector.Revision{Era: 1, Version: 81})
		}
	}
	if !ended {
		t.Fatal("the change was not ended before the restore")
	}
	rows[0], rows[2] = row("host/d0", 77, secondEraHost), row("duty", 78, `{"holder":"d0","fence":1048577}`)
	rows[3] = row("ack/g/d0", 79, `{"incarnation":7,"number":2,"complete":true}`)
	commands = e.SetRows(2000, 2000, append(rows, row("era/2", 76, `{"host":"d0"}`)), elector.Revision{Era: 2, Version: 79})
	for now := timekeeper.Millis(2100); now < 5000; now += 100 {
		commands = append(commands, e.Tick(now)...)
	}
	if !slices.ContainsFunc(commands, func(c elector.Command) bool {
		inspect, ok := c.(elector.Inspect)
		return ok && inspect.Request.Action == elector.ActionStepDown
	}) {
		t.Error("the change does not go on after the restore")
	}
}
