package watcher_test

import (
	"encoding/json"
	"testing"

	"github.com/heatherhall/heatherhall/watcher"
)

func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"type":"ping","from":{"name":"a","address":"b","state":"live"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m watcher.Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		h := watcher.New(watcher.DefaultSettings(), member("h1", 1), nil, nil)
		h.HandleMessage(1, m)
		if home := h.Home("db"); home == "" {
			t.Error("no host is the home")
		}
	})
}
