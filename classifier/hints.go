package classifier

import (
	"regexp"
	"strings"
	"time"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Hints are what a caller says about a statement in a comment such as
// /*rank='settlement',max_age='30s',request='a1'*/.
type Hints struct {
	// Rank is the rank asked for; HasRank tells whether one was.
	Rank    scheduler.Rank
	HasRank bool
	// MaxAge is the age of data that a read accepts; 0 accepts none.
	MaxAge timekeeper.Millis
	// RequestKey is the key of work that runs at most once.
	RequestKey string
}

// WithDefaults returns the hints with those that are not given taken from other.
func (h Hints) WithDefaults(other Hints) Hints {
	if !h.HasRank {
		h.Rank, h.HasRank = other.Rank, other.HasRank
	}
	if h.MaxAge == 0 {
		h.MaxAge = other.MaxAge
	}
	if h.RequestKey == "" {
		h.RequestKey = other.RequestKey
	}
	return h
}

// work maps the names of kinds of work to their ranks.
var work = map[string]scheduler.Rank{
	"settlement": scheduler.RankUrgent,
	"booking":    scheduler.RankUrgent,
	"appraisal":  scheduler.RankStandard,
	"return":     scheduler.RankStandard,
	"browsing":   scheduler.RankBrowse,
}

// requestLimit bounds the length of a request key in bytes.
const requestLimit = 200

var pairPattern = regexp.MustCompile(`^\s*([a-z_]+)\s*=\s*'((?:[^'\\]|\\.|'')*)'\s*$`)

// With returns the hints with one more, by its name and value.
func (h Hints) With(name, value string) (Hints, error) {
	switch name {
	case "rank":
		rank, known := work[value]
		if !known {
			var err error
			if rank, err = scheduler.ParseRank(value); err != nil {
				return h, invalid("rank", "want urgent, standard, browse or a kind of work, have "+value)
			}
		}
		h.Rank, h.HasRank = rank, true
	case "max_age":
		age, err := time.ParseDuration(value)
		if err != nil || age < 0 {
			return h, invalid("max_age", "want a duration such as 30s, have "+value)
		}
		h.MaxAge = timekeeper.Millis(age.Milliseconds())
	case "request":
		if value == "" || len(value) > requestLimit {
			return h, invalid("request", "want a key of 1 to 200 bytes")
		}
		h.RequestKey = value
	}
	return h, nil
}

// split separates a statement's hints from its text. A comment that is not a
// list of hints is left in the text. Names unknown here are passed over, since
// other tools use such comments too.
func split(sql string) (string, Hints, error) {
	var hints Hints
	text := sql
	for _, place := range []func(string) (string, string, bool){leading, trailing} {
		rest, comment, found := place(text)
		if !found {
			continue
		}
		given, ok, err := parseHints(comment)
		if err != nil {
			return sql, hints, err
		}
		if ok {
			text = rest
			hints = given.WithDefaults(hints)
		}
	}
	return text, hints, nil
}

func leading(sql string) (rest, comment string, found bool) {
	trimmed := strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(trimmed, "/*") {
		return sql, "", false
	}
	end := strings.Index(trimmed, "*/")
	if end < 0 {
		return sql, "", false
	}
	return trimmed[end+2:], trimmed[2:end], true
}

func trailing(sql string) (rest, comment string, found bool) {
	trimmed := strings.TrimRight(sql, " \t\r\n;")
	if !strings.HasSuffix(trimmed, "*/") {
		return sql, "", false
	}
	start := strings.LastIndex(trimmed, "/*")
	if start < 0 {
		return sql, "", false
	}
	return trimmed[:start], trimmed[start+2 : len(trimmed)-2], true
}

// parseHints reads a comment's pairs. It reports whether the comment is a list
// of pairs at all.
func parseHints(comment string) (Hints, bool, error) {
	var hints Hints
	for _, pair := range splitPairs(comment) {
		match := pairPattern.FindStringSubmatch(pair)
		if match == nil {
			return hints, false, nil
		}
		var err error
		if hints, err = hints.With(match[1], strings.ReplaceAll(match[2], "''", "'")); err != nil {
			return hints, true, err
		}
	}
	return hints, true, nil
}

// splitPairs splits at the commas outside quotes.
func splitPairs(comment string) []string {
	var out []string
	quoted := false
	start := 0
	for i, c := range comment {
		switch {
		case c == '\'':
			quoted = !quoted
		case c == ',' && !quoted:
			out = append(out, comment[start:i])
			start = i + 1
		}
	}
	return append(out, comment[start:])
}
