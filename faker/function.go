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

// functionCall returns the name and arguments of a function call that is the
// only target of a SELECT without FROM. For any other statement, or if an
// argument can't be evaluated, it returns an empty name.
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

// pgSleepDuration returns the total time of the pg_sleep calls in the target
// list of a SELECT.
func pgSleepDuration(node *query.Node, params []Value) time.Duration {
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

// controlFunction runs one of the heatherhall functions, which daemons call to
// control a database group and tests call to inject faults, and sends its
// result. The functions take no slot. It returns false if name is not one of
// them.
func (s *session) controlFunction(ctx context.Context, name string, args []string, describe bool) (bool, error) {
	if name == "heatherhall_session" {
		state, err := s.sessionState(args)
		if err == nil {
			s.send(result{columns: []string{name}, rows: [][]Value{{textValue(state)}}, tag: "SELECT 1"}, describe)
		}
		return true, err
	}
	var report sequencer.Report
	var err error
	switch name {
	case "heatherhall_watch":
		report, err = s.watch(args)
	case "heatherhall_fence":
		report, err = s.callWithTerm(args, s.server.engine.Fence)
	case "heatherhall_promote":
		report, err = s.callWithTerm(args, s.server.engine.Promote)
	case "heatherhall_follow":
		report, err = s.follow(ctx, args)
	case "heatherhall_fault":
		report, err = s.setFault(args)
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
	s.send(result{columns: []string{name}, rows: [][]Value{{textValue(string(data))}}, tag: "SELECT 1"}, describe)
	return true, nil
}

// watch runs heatherhall_watch. The arguments are the received position, the
// applied position and the promised term that the client knows, and the time in
// milliseconds to wait for a change of any of them.
func (s *session) watch(args []string) (sequencer.Report, error) {
	if len(args) != 4 {
		return sequencer.Report{}, newError("watch", KindInvalid, "want the received position, the applied position, the promised term and a wait in milliseconds")
	}
	received, err := sequencer.ParsePosition(args[0])
	if err != nil {
		return sequencer.Report{}, err
	}
	applied, err := sequencer.ParsePosition(args[1])
	if err != nil {
		return sequencer.Report{}, err
	}
	promisedTerm, errPromised := strconv.ParseInt(args[2], 10, 64)
	wait, errWait := strconv.ParseInt(args[3], 10, 64)
	if errPromised != nil || errWait != nil {
		return sequencer.Report{}, newError("watch", KindInvalid, "the promised term and the wait must be whole numbers")
	}
	return s.server.engine.Watch(received, applied, promisedTerm, timekeeper.Millis(wait).Duration()), nil
}

// callWithTerm parses the term in the first argument and calls a function with
// it.
func (s *session) callWithTerm(args []string, call func(int64) (sequencer.Report, error)) (sequencer.Report, error) {
	if len(args) < 1 {
		return sequencer.Report{}, newError("control", KindInvalid, "want a term")
	}
	term, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return sequencer.Report{}, newError("control", KindInvalid, "term %q is not a whole number", args[0])
	}
	return call(term)
}

// follow runs heatherhall_follow. The arguments are a term and the address of
// its primary. The server becomes a replica in the term and replicates from
// there.
func (s *session) follow(ctx context.Context, args []string) (sequencer.Report, error) {
	if len(args) != 2 {
		return sequencer.Report{}, newError("follow", KindInvalid, "want a term and the address of its primary")
	}
	return s.callWithTerm(args, func(term int64) (sequencer.Report, error) {
		report, err := s.server.engine.updateLog(func(l *Log) error { return l.Follow(term) })
		if err == nil {
			s.server.startReplication(ctx, term, args[1])
		}
		return report, err
	})
}

// setFault runs heatherhall_fault. The argument is a fault as name=value; see
// faults.set. silence=on makes all other current sessions unresponsive.
func (s *session) setFault(args []string) (sequencer.Report, error) {
	if len(args) != 1 {
		return sequencer.Report{}, newError("fault", KindInvalid, "want name=value")
	}
	if args[0] == "silence=on" {
		s.server.makeUnresponsive(s)
		return s.server.Report(), nil
	}
	return s.server.Report(), s.server.faults.set(args[0])
}

// sessionState runs heatherhall_session. The argument is the process ID of a
// session. It returns "running" if the session handles a message or skips
// messages until Sync, "idle" if not, and "gone" if there is no such session.
func (s *session) sessionState(args []string) (string, error) {
	if len(args) != 1 {
		return "", newError("session", KindInvalid, "want a process ID")
	}
	id, err := strconv.ParseUint(args[0], 10, 32)
	if err != nil {
		return "", newError("session", KindInvalid, "%q is not a process ID", args[0])
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
