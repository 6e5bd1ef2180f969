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

// validSettings returns decoded JSON of settings that pass all checks.
func validSettings() map[string]any {
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

// lookUp returns the value at a path of object keys and list indexes.
func lookUp(value any, path ...any) any {
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

func TestParseFaults(t *testing.T) {
	tests := map[string]struct {
		change func(s map[string]any)
		want   string
	}{
		"valid":         {func(map[string]any) {}, ""},
		"unknown field": {func(s map[string]any) { s["sped"] = 1 }, `unknown field "sped"`},
		"address with host name": {func(s map[string]any) {
			lookUp(s, "databases", 0, "servers", 0).(map[string]any)["address"] = "localhost:5432"
		}, "databases[0].servers[0].address: want IP:port"},
		"no slots": {func(s map[string]any) {
			lookUp(s, "databases", 0, "servers", 0).(map[string]any)["slots"] = 0
		}, "databases[0].servers[0].slots: want 1 or more"},
		"secret from file and env": {func(s map[string]any) { lookUp(s, "secret").(map[string]any)["env"] = "X" }, "secret: want either file or env"},
		"no tokens":                {func(s map[string]any) { s["tokens"] = []any{} }, "tokens: want at least one key"},
		"shares above 100%": {func(s map[string]any) {
			s["ranks"] = map[string]any{"urgent": map[string]any{"share": 90, "target": 5}}
		}, "add up to 120"},
		"unknown log level":   {func(s map[string]any) { s["log"] = map[string]any{"level": "loud"} }, "log.level: want debug"},
		"unknown acknowledge": {func(s map[string]any) { lookUp(s, "databases", 0).(map[string]any)["acknowledge"] = "none" }, "databases[0].acknowledge"},
		"time below 1":        {func(s map[string]any) { s["times"] = map[string]any{"hold": 0} }, "times.hold: want 1 or more"},
		"duplicate database":  {func(s map[string]any) { s["databases"] = []any{lookUp(s, "databases", 0), lookUp(s, "databases", 0)} }, `databases[1].name: "db" is listed twice`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := validSettings()
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

func TestParseReportsAllFaults(t *testing.T) {
	_, err := configurer.Parse([]byte(`{}`))
	var e *configurer.Error
	if !errors.As(err, &e) || len(e.Faults) < 6 {
		t.Errorf("got %v, want an error with at least 6 faults", err)
	}
}

// TestSettingsAreDocumented checks that docs/settings.md documents every setting
// by its JSON path.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range settingPaths(reflect.TypeOf(configurer.Settings{}), "") {
		if !strings.Contains(string(page), "`"+path+"`") {
			t.Errorf("docs/settings.md does not name `%s`", path)
		}
	}
}

// settingPaths returns the JSON paths of all settings of a type.
func settingPaths(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		if t.Kind() == reflect.Slice {
			prefix = strings.TrimSuffix(prefix, ".") + "[]."
		}
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{strings.TrimSuffix(prefix, ".")}
	}
	var paths []string
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		paths = append(paths, settingPaths(t.Field(i).Type, prefix+tag+".")...)
	}
	return paths
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := configurer.Parse(data); err == nil && len(s.Databases) == 0 {
			t.Error("accepted settings without databases")
		}
	})
}
