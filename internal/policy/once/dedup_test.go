package once

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

const afterWindow = Window + 1_000

func TestDeduplicator(t *testing.T) {
	pair := []string{"a", "b"}
	key := keyOf("a", pair)
	tests := []struct {
		name string
		run  func(d *Deduplicator) Verdict
		want Verdict
	}{
		{"a new key", func(d *Deduplicator) Verdict { return d.Begin("s", key, false, afterWindow) }, Fresh},
		{"the same key again", func(d *Deduplicator) Verdict {
			d.Begin("s", key, false, afterWindow)
			return d.Begin("s", key, false, afterWindow+5)
		}, Seen},
		{"a repeat after the request did not run", func(d *Deduplicator) Verdict {
			d.Begin("s", key, false, afterWindow)
			d.Forget(key)
			return d.Begin("s", key, true, afterWindow+5)
		}, Fresh},
		{"a repeat after the window", func(d *Deduplicator) Verdict {
			d.Begin("s", key, false, afterWindow)
			return d.Begin("s", key, true, afterWindow+Window+1)
		}, Fresh},
		{"a marked repeat with full history", func(d *Deduplicator) Verdict { return d.Begin("s", key, true, afterWindow) }, Fresh},
		{"a marked repeat soon after the daemon started", func(d *Deduplicator) Verdict { return d.Begin("s", key, true, 1_000) }, Uncertain},
		{"a marked repeat whose key another host owned before", func(d *Deduplicator) Verdict {
			d.SetHosts("s", []string{"a"}, afterWindow)
			return d.Begin("s", keyOf("b", pair), true, afterWindow+5)
		}, Uncertain},
		{"an unmarked request whose key another host owned before", func(d *Deduplicator) Verdict {
			d.SetHosts("s", []string{"a"}, afterWindow)
			return d.Begin("s", keyOf("b", pair), false, afterWindow+5)
		}, Fresh},
		{"a change of hosts does not affect keys of the same owner", func(d *Deduplicator) Verdict {
			d.SetHosts("s", []string{"a"}, afterWindow)
			return d.Begin("s", key, true, afterWindow+5)
		}, Fresh},
		{"a marked repeat after keys were removed early", func(d *Deduplicator) Verdict {
			for i := range maxKeys + 1 {
				d.Begin("s", fmt.Sprint("other-", i), false, afterWindow)
			}
			return d.Begin("s", key, true, afterWindow)
		}, Uncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Deduplicator{Self: "a"}
			d.SetHosts("s", pair, 0)
			if diff := cmp.Diff(tt.want, tt.run(d)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if d.Len() > maxKeys {
				t.Errorf("%d keys are stored, want at most %d", d.Len(), maxKeys)
			}
		})
	}
}

// keyOf returns a key that the named host owns among some hosts.
func keyOf(owner string, hosts []string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key-", i); Owner(key, hosts) == owner {
			return key
		}
	}
}

func BenchmarkBegin(b *testing.B) {
	d := &Deduplicator{Self: "a"}
	d.SetHosts("s", []string{"a", "b"}, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Begin("s", fmt.Sprint(i), false, daisygap.Millis(i/1000))
	}
}
