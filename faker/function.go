package faker

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	query "github.com/pganalyze/pg_query_go/v6"

	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// functionCall returns the name and arguments of the function that is the only
// target of a SELECT, or an empty name.
func functionCall(node *query.Node, params []Value) (string, []string) {
	s := node.GetSelectStmt()
	if s == nil || len(s.GetTargetList()) != 1 || len(s.GetFromClause()) > 0 {
		return "", nil
	}
	call := s.GetTargetList()[0].GetResTarget().GetVal().GetFuncCall()
	if call == nil {
		return "", nil
	}
	var args []string
	for _, arg := range call.GetArgs() {
		value, err := evaluate(arg, scope{params: params})
		if err != nil {
			return "", nil
		}
		args = append(args, value.Text)
	}
	return functionName(call), args
}

// sleepOf returns the time that pg_sleep calls among the targets ask for.
func sleepOf(node *query.Node, params []Value) time.Duration {
	var total time.Duration
	for _, target := range node.GetSelectStmt().GetTargetList() {
		call := target.GetResTarget().GetVal().GetFuncCall()
		if call == nil || functionName(call) != "pg_sleep" || len(call.GetArgs()) != 1 {
			continue
		}
		value, err := evaluate(call.GetArgs()[0], scope{params: params})
		if err != nil {
			continue
		}
		seconds, err := strconv.ParseFloat(value.Text, 64)
		if err == nil {
			total += time.Duration(seconds * float64(time.Second))
		}
	}
	return total
}

// function runs the control functions of the platform's database groups. They
// take no slot. It reports whether the name is one of them.
func (s *session) function(ctx context.Context, name string, args []string, describe bool) (bool, error) {
	if name == "heatherhall_session" {
		state, err := s.sessionState(args)
		if err == nil {
			s.send(result{columns: []string{name}, rows: [][]Value{{text(state)}}, tag: "SELECT 1"}, describe)
		}
		return true, err
	}
	var report sequencer.Report
	var err error
	switch name {
	case "heatherhall_watch":
		report, err = s.watch(args)
	case "heatherhall_fence":
		report, err = s.termCall(args, s.server.engine.Fence)
	case "heatherhall_promote":
		report, err = s.termCall(args, s.server.engine.Promote)
	case "heatherhall_follow":
		report, err = s.follow(ctx, args)
	case "heatherhall_fault":
		report, err = s.fault(args)
	default:
		return false, nil
	}
	if err != nil {
		return true, err
	}
	data, err := json.Marshal(report)
	if err != nil {
		return true, err
	}
	s.send(result{columns: []string{name}, rows: [][]Value{{text(string(data))}}, tag: "SELECT 1"}, describe)
	return true, nil
}

// watch takes the held and applied positions and the promised term last seen,
// and the time in milliseconds to wait for a change.
func (s *session) watch(args []string) (sequencer.Report, error) {
	if len(args) != 4 {
		return sequencer.Report{}, fail("watch", KindInvalid, "want held, applied, promised, milliseconds")
	}
	held, err := sequencer.ParsePosition(args[0])
	if err != nil {
		return sequencer.Report{}, err
	}
	applied, err := sequencer.ParsePosition(args[1])
	if err != nil {
		return sequencer.Report{}, err
	}
	promised, errPromised := strconv.ParseInt(args[2], 10, 64)
	wait, errWait := strconv.ParseInt(args[3], 10, 64)
	if errPromised != nil || errWait != nil {
		return sequencer.Report{}, fail("watch", KindInvalid, "want whole numbers")
	}
	return s.server.engine.Watch(held, applied, promised, timekeeper.Millis(wait).Duration()), nil
}

func (s *session) termCall(args []string, call func(int64) (sequencer.Report, error)) (sequencer.Report, error) {
	if len(args) < 1 {
		return sequencer.Report{}, fail("control", KindInvalid, "want a term")
	}
	term, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return sequencer.Report{}, fail("control", KindInvalid, "term %q is not a whole number", args[0])
	}
	return call(term)
}

// follow takes a term and the address of its primary.
func (s *session) follow(ctx context.Context, args []string) (sequencer.Report, error) {
	if len(args) != 2 {
		return sequencer.Report{}, fail("follow", KindInvalid, "want a term and an address")
	}
	return s.termCall(args, func(term int64) (sequencer.Report, error) {
		report, err := s.server.engine.control(func(l *Log) error { return l.Follow(term) })
		if err == nil {
			s.server.follow(ctx, term, args[1])
		}
		return report, err
	})
}

// fault changes a condition of the server; silence=on makes all other
// connections go silent.
func (s *session) fault(args []string) (sequencer.Report, error) {
	if len(args) != 1 {
		return sequencer.Report{}, fail("fault", KindInvalid, "want name=value")
	}
	if args[0] == "silence=on" {
		s.server.silence(s)
		return s.server.Report(), nil
	}
	return s.server.Report(), s.server.faults.set(args[0])
}

// sessionState tells whether the session of a process number is running a
// statement, idle or gone.
func (s *session) sessionState(args []string) (string, error) {
	if len(args) != 1 {
		return "", fail("session", KindInvalid, "want a process number")
	}
	id, err := strconv.ParseUint(args[0], 10, 32)
	if err != nil {
		return "", fail("session", KindInvalid, "%q is not a process number", args[0])
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	other := s.server.sessions[uint32(id)]
	switch {
	case other == nil:
		return "gone", nil
	case other.active.Load():
		return "running", nil
	}
	return "idle", nil
}
