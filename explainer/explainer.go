// Package explainer tells the story of one request from daemons' logs: what was
// decided on it, and what its daemon believed and lost around that time.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// lineLimit is the longest log line that is read, in bytes.
	lineLimit = 1 << 20
	// before and after bound what of a daemon's beliefs belongs to a request.
	before = 3 * time.Second
	after  = 200 * time.Millisecond
)

// Line is one structured log line.
type Line struct {
	At      time.Time
	Host    string
	Part    string
	Request string
	Outcome string
	// Inputs are the line's other fields as they were written.
	Inputs string
}

// head are the fields that each line has.
type head struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Part    string    `json:"part"`
	Request string    `json:"request"`
	Outcome string    `json:"outcome"`
}

// Parse decodes a log line. What stands before its first brace, such as a time
// stamp of a log collector, is passed over. It reports false for other text.
func Parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var h head
	if json.Unmarshal(text[start:], &h) != nil || h.Part == "" {
		return Line{}, false
	}
	return Line{At: h.Time, Host: h.Host, Part: h.Part, Request: h.Request, Outcome: h.Outcome, Inputs: inputs(text[start:])}, true
}

// inputs formats the fields of a line beyond those that each has, in order.
func inputs(text []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return ""
	}
	var out []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			break
		}
		var value any
		if decoder.Decode(&value) != nil {
			break
		}
		switch name {
		case "time", "level", "host", "part", "request", "outcome":
			continue
		}
		out = append(out, fmt.Sprintf("%v=%v", name, value))
	}
	return strings.Join(out, " ")
}

// Explain writes the story of a request from logs: the lines of the request, and
// what its daemons logged of their beliefs shortly before. It reports how many
// lines the request has.
func Explain(out io.Writer, request string, logs ...io.Reader) (int, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, lineLimit)
		for scanner.Scan() {
			if line, ok := Parse(scanner.Bytes()); ok && (line.Request == request || line.Request == "") {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return 0, &Error{Op: "read", Kind: KindFile, Text: err.Error()}
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	found := 0
	for _, line := range lines {
		if line.Request == request {
			found++
		} else if !concerns(line, lines, request) {
			continue
		}
		mark := " "
		if line.Request == request {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s %s %s: %s %s\n", mark, line.At.Format("15:04:05.000"), line.Host, line.Part, line.Outcome, line.Inputs); err != nil {
			return found, &Error{Op: "write", Kind: KindFile, Text: err.Error()}
		}
	}
	return found, nil
}

// concerns reports whether a line on a belief was logged by one of the request's
// daemons around one of its lines.
func concerns(line Line, lines []Line, request string) bool {
	return slices.ContainsFunc(lines, func(other Line) bool {
		gap := other.At.Sub(line.At)
		return other.Request == request && other.Host == line.Host && gap < before && gap > -after
	})
}
