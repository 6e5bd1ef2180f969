// Package explainer extracts the history of one request from daemons' logs: the
// decisions about the request, and the state changes that its daemons logged
// around the same time, such as unavailable dependencies.
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
	// maxLineSize is the size of the longest log line that can be read, in bytes.
	maxLineSize = 1 << 20
	// contextBefore and contextAfter bound the time before and after a line of
	// the request in which its daemon's other lines are included.
	contextBefore = 3 * time.Second
	contextAfter  = 200 * time.Millisecond
)

// Line is a structured log line of a daemon.
type Line struct {
	At      time.Time
	Host    string
	Part    string
	Request string
	Outcome string
	// Inputs are the line's other fields as NAME=VALUE, in the order of the log.
	Inputs string
}

// commonFields are the fields that every structured line has. Request is empty
// in lines that don't belong to a request.
type commonFields struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Part    string    `json:"part"`
	Request string    `json:"request"`
	Outcome string    `json:"outcome"`
}

// Parse decodes a log line. It ignores text before the first brace, such as a
// log collector's time stamp. It reports false if the text is not a JSON log
// line with a part.
func Parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields commonFields
	if json.Unmarshal(text[start:], &fields) != nil || fields.Part == "" {
		return Line{}, false
	}
	return Line{At: fields.Time, Host: fields.Host, Part: fields.Part, Request: fields.Request, Outcome: fields.Outcome, Inputs: formatInputs(text[start:])}, true
}

// formatInputs formats the fields other than the common ones, in order.
func formatInputs(text []byte) string {
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

// Explain writes the lines of a request, marked with *, and the lines without a
// request that its daemons logged around the same time, all ordered by time. It
// returns the number of the request's lines. Its errors are of KindFile.
func Explain(out io.Writer, request string, logs ...io.Reader) (int, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineSize)
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
		} else if !isContext(line, lines, request) {
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

// isContext reports whether a line without a request was logged by the same
// daemon and around the same time as one of the request's lines.
func isContext(line Line, lines []Line, request string) bool {
	return slices.ContainsFunc(lines, func(other Line) bool {
		gap := other.At.Sub(line.At)
		return other.Request == request && other.Host == line.Host && gap < contextBefore && gap > -contextAfter
	})
}
