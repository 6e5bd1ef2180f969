package explainer_test

import (
	"os"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/explainer"
)

const logs = `12.1 h1 {"time":"2026-12-04T10:00:01.000Z","level":"info","host":"h1","part":"group g","outcome":"server is silent","server":"s0","heard":276}
{"time":"2026-12-04T10:00:01.100Z","level":"info","host":"h2","part":"dependency","outcome":"lost","name":"store"}
not a structured log line
{"time":"2026-12-04T10:00:02.000Z","level":"info","host":"h1","part":"request","request":"5c0e","outcome":"not run","database":"books","text":"no primary can be used"}
{"time":"2026-12-04T10:00:02.000Z","level":"info","host":"h1","part":"request","request":"77aa","outcome":"ok"}
{"time":"2026-12-04T10:00:09.000Z","level":"info","host":"h1","part":"group g","outcome":"server answers again","server":"s0"}
`

func ExampleExplain() {
	found, err := explainer.Explain(os.Stdout, "5c0e", strings.NewReader(logs))
	if err != nil || found != 1 {
		panic("the request was not found")
	}
	// Output:
	//   10:00:01.000 h1 group g: server is silent server=s0 heard=276
	// * 10:00:02.000 h1 request: not run database=books text=no primary can be used
}

func TestUnknownRequest(t *testing.T) {
	var out strings.Builder
	if found, err := explainer.Explain(&out, "none", strings.NewReader(logs)); found != 0 || err != nil || out.Len() > 0 {
		t.Errorf("got %d lines, error %v and output %q, want none", found, err, out.String())
	}
}
