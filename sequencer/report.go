package sequencer

import "encoding/json"

// Role is the role of a backend server in its database group.
type Role string

// Roles of a backend server. A fenced server has promised to accept no more
// entries of terms below a given one, and waits to be promoted or to follow a
// primary.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Report is a backend server's status report of its log. Package promoter bases
// primary changes on it; elector.ServerStatus is the status that package elector
// requests from the platform's servers.
type Report struct {
	Server string `json:"server"`
	Role   Role   `json:"role"`
	// PromisedTerm is the lowest term of which the server still accepts
	// entries.
	PromisedTerm int64 `json:"promised"`
	// Received is the position of the last entry in the server's log.
	Received Position `json:"held"`
	// Applied is the position of the last entry that is visible to reads on the
	// server.
	Applied Position `json:"applied"`
	History History  `json:"history"`
	// UpstreamIdleMillis is the time in milliseconds since a replica last
	// received anything from the primary that it follows, or -1 if it follows
	// none.
	UpstreamIdleMillis int64 `json:"upstream"`
}

// UnmarshalJSON decodes a report. It fails if the role is unknown or Applied is
// after Received.
func (r *Report) UnmarshalJSON(data []byte) error {
	type plain Report
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return invalid("report", err.Error())
	}
	if p.Role != RolePrimary && p.Role != RoleReplica && p.Role != RoleFenced {
		return invalid("report", "unknown role: "+string(p.Role))
	}
	if p.Received.Before(p.Applied) {
		return invalid("report", "applied "+p.Applied.String()+" is after held "+p.Received.String())
	}
	*r = Report(p)
	return nil
}
