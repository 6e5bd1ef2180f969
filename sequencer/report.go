package sequencer

import "encoding/json"

// Role is what a backend server does in its database group.
type Role string

// Roles of a backend server. A fenced server has promised to take no more
// entries below a term and waits to be promoted or told whom to follow.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Report is a backend server's own account of its log.
type Report struct {
	Server string `json:"server"`
	Role   Role   `json:"role"`
	// PromisedTerm is the lowest term that the server still takes entries of.
	PromisedTerm int64 `json:"promised"`
	// Received is the last entry in the server's log.
	Received Position `json:"held"`
	// Applied is the last entry that reads on the server see.
	Applied Position `json:"applied"`
	History History  `json:"history"`
	// UpstreamIdleMillis is the time in milliseconds since a replica last heard from the
	// primary it follows, or -1 where it follows none.
	UpstreamIdleMillis int64 `json:"upstream"`
}

// UnmarshalJSON decodes a report and checks its role and order of positions.
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
