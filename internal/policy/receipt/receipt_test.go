package receipt

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

var keys = map[string][]byte{"k1": []byte("first key of some length"), "k2": []byte("second key of some length")}

var refusal = &daisygap.Refusal{
	Reason: daisygap.ReasonDeadline, Run: daisygap.NotRun, ID: "r-1", Kind: "orders", Rank: daisygap.Urgent,
	Host: "a", Domain: "d", Version: 7, Time: 1_700_000_000_000, RetryAfter: 50,
	Metrics: daisygap.RefusalMetrics{Queued: 1, Running: 2, Limit: 3, Wait: 4, TimeLeft: 5},
}

func TestReceiptRoundTrip(t *testing.T) {
	got, err := Verify(Sign(refusal, "k2", keys["k2"]), keys)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(refusal, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestInvalidReceiptsAreRejected(t *testing.T) {
	good := Sign(refusal, "k1", keys["k1"])
	parts := strings.Split(good, ".")
	tests := []struct {
		name, text string
		want       error
	}{
		{"truncated at the end", good[:len(good)-4], ErrFormat},
		{"truncated in the middle", good[:len(good)/2], ErrFormat},
		{"modified data", parts[0] + "." + parts[1] + ".e30." + parts[3], ErrSignature},
		{"name of another key", parts[0] + ".k2." + parts[2] + "." + parts[3], ErrSignature},
		{"removed key", parts[0] + ".k0." + parts[2] + "." + parts[3], ErrUnknownKey},
		{"empty", "", ErrFormat},
		{"longer than MaxLength", good + strings.Repeat("x", MaxLength), ErrFormat},
	}
	for _, tt := range tests {
		if _, err := Verify(tt.text, keys); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
}

func FuzzVerify(f *testing.F) {
	f.Add(Sign(refusal, "k1", keys["k1"]))
	f.Add("dg1.k1..")
	f.Add("dg1.k1.e30.AAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Verify(text, keys)
		if err == nil && Sign(r, strings.Split(strings.TrimSpace(text), ".")[1], keys[strings.Split(strings.TrimSpace(text), ".")[1]]) == "" {
			t.Error("the refusal of a valid receipt can't be signed again")
		}
	})
}
