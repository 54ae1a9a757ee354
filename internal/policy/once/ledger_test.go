package once

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

const long = Window + 1_000

func TestLedger(t *testing.T) {
	pair := []string{"a", "b"}
	key := keyOf("a", pair)
	tests := []struct {
		name string
		run  func(l *Deduplicator) Verdict
		want Verdict
	}{
		{"a new key", func(l *Deduplicator) Verdict { return l.Begin("s", key, false, long) }, Fresh},
		{"the same key again", func(l *Deduplicator) Verdict {
			l.Begin("s", key, false, long)
			return l.Begin("s", key, false, long+5)
		}, Seen},
		{"after it was surely not run", func(l *Deduplicator) Verdict {
			l.Begin("s", key, false, long)
			l.Forget(key)
			return l.Begin("s", key, true, long+5)
		}, Fresh},
		{"after the window", func(l *Deduplicator) Verdict {
			l.Begin("s", key, false, long)
			return l.Begin("s", key, true, long+Window+1)
		}, Fresh},
		{"a marked repeat that this daemon would remember", func(l *Deduplicator) Verdict { return l.Begin("s", key, true, long) }, Fresh},
		{"a marked repeat soon after the start", func(l *Deduplicator) Verdict { return l.Begin("s", key, true, 1_000) }, Uncertain},
		{"a marked repeat whose home was another host before", func(l *Deduplicator) Verdict {
			l.SetHosts("s", []string{"a"}, long)
			return l.Begin("s", keyOf("b", pair), true, long+5)
		}, Uncertain},
		{"an unmarked one there runs", func(l *Deduplicator) Verdict {
			l.SetHosts("s", []string{"a"}, long)
			return l.Begin("s", keyOf("b", pair), false, long+5)
		}, Fresh},
		{"a change of hosts doesn't touch other keys", func(l *Deduplicator) Verdict {
			l.SetHosts("s", []string{"a"}, long)
			return l.Begin("s", key, true, long+5)
		}, Fresh},
		{"a marked repeat after keys were forgotten early", func(l *Deduplicator) Verdict {
			for i := range maxKeys + 1 {
				l.Begin("s", fmt.Sprint("other-", i), false, long)
			}
			return l.Begin("s", key, true, long)
		}, Uncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &Deduplicator{Self: "a"}
			l.SetHosts("s", pair, 0)
			if diff := cmp.Diff(tt.want, tt.run(l)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if l.Len() > maxKeys {
				t.Errorf("%d keys are remembered, want at most %d", l.Len(), maxKeys)
			}
		})
	}
}

// keyOf returns a key whose home among some hosts is the named one.
func keyOf(home string, hosts []string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key-", i); Owner(key, hosts) == home {
			return key
		}
	}
}

func BenchmarkBegin(b *testing.B) {
	l := &Deduplicator{Self: "a"}
	l.SetHosts("s", []string{"a", "b"}, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Begin("s", fmt.Sprint(i), false, daisygap.Millis(i/1000))
	}
}
