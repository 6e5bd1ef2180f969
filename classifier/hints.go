package classifier

import (
	"regexp"
	"strings"
	"time"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Hints holds the hints that a client gives for a statement in a comment such as
// /*rank='settlement',max_age='30s',request='a1'*/.
type Hints struct {
	// Rank is the requested priority rank; HasRank reports whether there is one.
	Rank    scheduler.Rank
	HasRank bool
	// MaxAge is the maximum age, in milliseconds, of the data that a read
	// accepts; 0 means that there is no such hint. A max_age below 1 ms is stored
	// as 0 and so counts as missing too.
	MaxAge timekeeper.Millis
	// RequestKey is the request key of work that must run at most once, or empty.
	RequestKey string
}

// WithDefaults returns the hints with missing ones filled in from other.
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

// rankAliases maps kinds of work, which a rank hint may name, to their ranks.
var rankAliases = map[string]scheduler.Rank{
	"settlement": scheduler.RankUrgent,
	"booking":    scheduler.RankUrgent,
	"appraisal":  scheduler.RankStandard,
	"return":     scheduler.RankStandard,
	"browsing":   scheduler.RankBrowse,
}

// maxRequestKeyBytes is the max length of a request key in bytes.
const maxRequestKeyBytes = 200

// pairPattern matches one name='value' pair of a hint comment.
var pairPattern = regexp.MustCompile(`^\s*([a-z_]+)\s*=\s*'((?:[^'\\]|\\.|'')*)'\s*$`)

// With returns the hints with the named one set. Unknown names are ignored. It
// returns an Error of KindInvalid if the value is not valid for the hint.
func (h Hints) With(name, value string) (Hints, error) {
	switch name {
	case "rank":
		rank, known := rankAliases[value]
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
		if value == "" || len(value) > maxRequestKeyBytes {
			return h, invalid("request", "want a key of 1 to 200 bytes")
		}
		h.RequestKey = value
	}
	return h, nil
}

// extractHints returns the text without its hint comments, and the hints. Hints
// may be in a comment before the statement, after it, or both; those after it
// take precedence. A comment that is not a list of pairs stays in the text.
// Unknown names are ignored because other tools use such comments too.
func extractHints(sql string) (string, Hints, error) {
	var hints Hints
	text := sql
	for _, extract := range []func(string) (string, string, bool){leadingComment, trailingComment} {
		rest, comment, found := extract(text)
		if !found {
			continue
		}
		parsed, ok, err := parseHints(comment)
		if err != nil {
			return sql, hints, err
		}
		if ok {
			text = rest
			hints = parsed.WithDefaults(hints)
		}
	}
	return text, hints, nil
}

func leadingComment(sql string) (rest, comment string, found bool) {
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

func trailingComment(sql string) (rest, comment string, found bool) {
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

// parseHints parses the name='value' pairs of a comment. It returns false if the
// comment is not a list of such pairs.
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

// splitPairs splits a comment at the commas that are not in quotes.
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
