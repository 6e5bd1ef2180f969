// Package checker finds faults in a catalog before it is sent: entries without effect,
// limits that contradict each other and changes that cut connected clients.
package checker

import (
	"maps"
	"slices"
)

// Severity ranks findings.
type Severity string

// Severities of findings.
const (
	// SeverityError is an entry that daemons reject or skip.
	SeverityError Severity = "error"
	// SeverityWarning is an entry that probably does not do what its author wants, or a
	// change that cuts connected clients.
	SeverityWarning Severity = "warning"
	// SeverityNote is a change that cuts nobody.
	SeverityNote Severity = "note"
)

// Code names a kind of finding.
type Code string

// Codes of findings.
const (
	CodeUnreadable       Code = "unreadable"
	CodeRejected         Code = "rejected"
	CodeSkipped          Code = "skipped"
	CodeAdjusted         Code = "adjusted"
	CodeFieldRepeated    Code = "field-repeated"
	CodeNoDatabase       Code = "no-database"
	CodeDatabaseRepeated Code = "database-repeated"
	CodeGroupRepeated    Code = "group-repeated"
	CodeAccountRepeated  Code = "account-repeated"
	CodeKeyShared        Code = "key-shared"
	CodeNoKey            Code = "no-key"
	CodeGroupUnused      Code = "group-unused"
	CodeGroupMissing     Code = "group-missing"
	CodeAccountUnused    Code = "account-unused"
	CodeNoAccount        Code = "no-account"
	CodeRateWithoutBurst Code = "rate-without-burst"
	CodeBurstWithoutRate Code = "burst-without-rate"
	CodeTimeoutLong      Code = "timeout-long"
	CodeTimeoutShort     Code = "timeout-short"
	CodeIdleShort        Code = "idle-short"
	CodeConnectionsFew   Code = "connections-few"
	CodeMaxAgeZero       Code = "max-age-zero"
	CodeVersionNotHigher Code = "version-not-higher"
	CodeDatabaseGone     Code = "database-gone"
	CodeDatabaseClosed   Code = "database-closed"
	CodeAccountGone      Code = "account-gone"
	CodeKeyGone          Code = "key-gone"
	CodeKeyMoved         Code = "key-moved"
	CodeLimitFalls       Code = "limit-falls"
	CodeChanged          Code = "changed"
)

// Explanation says what a code means and what to do about it.
type Explanation struct {
	Severity        Severity
	Meaning, Action string
}

// explanations are the explanations of all codes.
var explanations = map[Code]Explanation{
	CodeUnreadable:       {SeverityError, "The file is not a catalog in JSON, or exceeds a limit of the check.", "Correct the file at the line named. Daemons keep the version in force if they can't decode a catalog."},
	CodeRejected:         {SeverityError, "Daemons reject the whole catalog because of this entry and keep the version in force.", "Correct the field."},
	CodeSkipped:          {SeverityError, "Daemons skip this account: its keys identify no client.", "Correct the field, or drop the account."},
	CodeAdjusted:         {SeverityWarning, "Daemons replace or leave out this value.", "Write the value that is meant."},
	CodeFieldRepeated:    {SeverityWarning, "A JSON object has a field more than once; daemons may mix the values.", "Keep one of them."},
	CodeNoDatabase:       {SeverityWarning, "The catalog has no databases, so daemons serve no client.", "Check that the file is the whole catalog."},
	CodeDatabaseRepeated: {SeverityWarning, "Of databases with one name only the last counts.", "Drop or rename one of them."},
	CodeGroupRepeated:    {SeverityWarning, "Of groups with one name only the last counts.", "Drop or rename one of them."},
	CodeAccountRepeated:  {SeverityWarning, "Of accounts with one name only the first counts; the keys of the others identify nobody.", "Merge the accounts."},
	CodeKeyShared:        {SeverityWarning, "A key that two accounts hold identifies neither.", "Leave the key in one account, or issue a new one."},
	CodeNoKey:            {SeverityWarning, "An account without keys identifies no client.", "Give it a key, or drop it."},
	CodeGroupUnused:      {SeverityWarning, "No database uses the group, so its servers get no work.", "Route a database to it, or drop it."},
	CodeGroupMissing:     {SeverityWarning, "The database's group is not in the catalog, so its connection limit is unknown.", "Add the group, or correct its name."},
	CodeAccountUnused:    {SeverityWarning, "No database is closed, so no client needs the account.", "Close a database, or drop the accounts."},
	CodeNoAccount:        {SeverityWarning, "The database is closed, but no account has a key, so nobody can use it.", "Add an account with a key, or open the database."},
	CodeRateWithoutBurst: {SeverityWarning, "A rate limit with a burst below 1 leaves no allowance after a pause, so short peaks are refused.", "Set the burst to 1 or more, or the rate to 0."},
	CodeBurstWithoutRate: {SeverityWarning, "A rate of 0 sets no limit, so the burst has no effect.", "Set a rate, or the burst to 0."},
	CodeTimeoutLong:      {SeverityWarning, "The statement timeout is above 10 times the latency objective, so statements occupy servers long after they are late.", "Lower the timeout, or raise the objective."},
	CodeTimeoutShort:     {SeverityWarning, "The statement timeout is below the latency objective, so statements that meet the objective time out.", "Raise the timeout, or lower the objective."},
	CodeIdleShort:        {SeverityWarning, "Idle transactions are rolled back sooner than a statement times out.", "Raise the timeout of idle transactions to the longest statement timeout or more."},
	CodeConnectionsFew:   {SeverityWarning, "The connection limit does not exceed the connections reserved on each server, which leaves none for statements.", "Raise the limit."},
	CodeMaxAgeZero:       {SeverityWarning, "Reads of bounded staleness may have a greatest age of 0, so replicas can hardly serve them.", "Set the greatest age, or another consistency."},
	CodeVersionNotHigher: {SeverityWarning, "Daemons ignore a version that is not higher than the one in force.", "Raise the version."},
	CodeDatabaseGone:     {SeverityWarning, "The database is dropped; its clients are cut.", "Make sure that no client uses it."},
	CodeDatabaseClosed:   {SeverityWarning, "The database becomes closed; its clients without a key of an account are cut.", "Make sure that all its clients have keys."},
	CodeAccountGone:      {SeverityWarning, "The account is dropped; its clients are cut.", "Make sure that no client uses its keys."},
	CodeKeyGone:          {SeverityWarning, "The key no longer identifies its account; its clients are cut.", "Make sure that no client uses it."},
	CodeKeyMoved:         {SeverityWarning, "The key identifies another account; open transactions of its clients are rolled back.", "Make sure that the move is meant."},
	CodeLimitFalls:       {SeverityWarning, "A limit falls; work that fits today is refused or stopped.", "Compare the new limit with the use today."},
	CodeChanged:          {SeverityNote, "The version in force differs here. No client is cut.", "Nothing, if the change is meant."},
}

// Explain returns the explanation of a code, or false if there is no such code.
func Explain(code Code) (Explanation, bool) {
	e, found := explanations[code]
	return e, found
}

// Codes returns all codes in order.
func Codes() []Code {
	return slices.Sorted(maps.Keys(explanations))
}

// Finding is one fault or difference.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// File is the path of the file, and Path the place in its JSON. Line counts from 1;
	// 0 is an unknown line.
	File string `json:"file"`
	Path string `json:"place,omitempty"`
	Line int    `json:"line,omitempty"`
	// Text says what was found, and Action what to do.
	Text   string `json:"text"`
	Action string `json:"action"`
}

// Place is a place in a file.
type Place struct {
	File, Path string
	Line       int
}

// NewFinding returns a finding with the severity and action of its code.
func NewFinding(code Code, place Place, text string) Finding {
	e := explanations[code]
	return Finding{Severity: e.Severity, Code: code, File: place.File, Path: place.Path, Line: place.Line, Text: text, Action: e.Action}
}

// Count returns how many findings have the severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}
