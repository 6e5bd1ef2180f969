package configurer_test

import (
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/heatherhall/heatherhall/configurer"
)

// good returns settings without faults, as JSON values.
func good() map[string]any {
	var out map[string]any
	text := `{
		"host": {"name": "h1", "domain": "north", "address": "127.0.0.1:6432", "peer": "127.0.0.1:7100"},
		"platform": "127.0.0.1:7000",
		"secret": {"file": "secret"},
		"tokens": [{"name": "k1", "secret": {"env": "TOKEN"}}],
		"databases": [{"name": "db", "servers": [{"name": "s", "domain": "north", "address": "127.0.0.1:5432", "slots": 2, "connections": 16}]}]
	}`
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		panic(err)
	}
	return out
}

func at(value any, path ...any) any {
	for _, step := range path {
		switch step := step.(type) {
		case string:
			value = value.(map[string]any)[step]
		case int:
			value = value.([]any)[step]
		}
	}
	return value
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		change func(s map[string]any)
		want   string
	}{
		"good":          {func(map[string]any) {}, ""},
		"unknown field": {func(s map[string]any) { s["sped"] = 1 }, `unknown field "sped"`},
		"host by name": {func(s map[string]any) {
			at(s, "databases", 0, "servers", 0).(map[string]any)["address"] = "localhost:5432"
		}, "databases[0].servers[0].address: want IP:port"},
		"no slots": {func(s map[string]any) {
			at(s, "databases", 0, "servers", 0).(map[string]any)["slots"] = 0
		}, "databases[0].servers[0].slots: want 1 or more"},
		"secret twice": {func(s map[string]any) { at(s, "secret").(map[string]any)["env"] = "X" }, "secret: want either file or env"},
		"no tokens":    {func(s map[string]any) { s["tokens"] = []any{} }, "tokens: want at least one key"},
		"shares": {func(s map[string]any) {
			s["ranks"] = map[string]any{"urgent": map[string]any{"share": 90, "target": 5}}
		}, "add up to 120"},
		"log level":     {func(s map[string]any) { s["log"] = map[string]any{"level": "loud"} }, "log.level: want debug"},
		"acknowledge":   {func(s map[string]any) { at(s, "databases", 0).(map[string]any)["acknowledge"] = "none" }, "databases[0].acknowledge"},
		"time below 1":  {func(s map[string]any) { s["times"] = map[string]any{"hold": 0} }, "times.hold: want 1 or more"},
		"two databases": {func(s map[string]any) { s["databases"] = []any{at(s, "databases", 0), at(s, "databases", 0)} }, `databases[1].name: "db" stands twice`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := good()
			test.change(s)
			data, err := json.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			_, err = configurer.Parse(data)
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	_, err := configurer.Parse([]byte(`{}`))
	var e *configurer.Error
	if !errors.As(err, &e) || len(e.Faults) < 6 {
		t.Errorf("got %v, want every fault of empty settings", err)
	}
}

// TestSettingsPage checks that the reference page names every setting.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names(reflect.TypeOf(configurer.Settings{}), "") {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/settings.md does not name `%s`", name)
		}
	}
}

// names returns the names of all settings of a type, as paths.
func names(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		if t.Kind() == reflect.Slice {
			prefix = strings.TrimSuffix(prefix, ".") + "[]."
		}
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{strings.TrimSuffix(prefix, ".")}
	}
	var out []string
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out = append(out, names(t.Field(i).Type, prefix+tag+".")...)
	}
	return out
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := configurer.Parse(data); err == nil && len(s.Databases) == 0 {
			t.Error("accepted settings without databases")
		}
	})
}
