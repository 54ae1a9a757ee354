package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func TestParseErrorsNameField(t *testing.T) {
	good, err := os.ReadFile("../../../examples/hivecraft/host.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("host.json", good); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ text, want string }{
		{`{"host":""}`, `host.json: host: expected a name, found ""`},
		{`{"host":"a","domain":"d","region":"r","caller":":80"}`, `host.json: caller: expected an IP address and port, found ":80"`},
		{`{"host":7}`, `host.json:1: host: expected a string, found number`},
		{`{"hosts":"a"}`, `host.json:1: hosts: expected a known field`},
		{`{} {}`, `host.json: document: expected nothing after the first JSON object`},
	}
	for _, tt := range tests {
		_, err := Parse("host.json", []byte(tt.text))
		if err == nil {
			t.Errorf("invalid settings accepted: %s", tt.text)
			continue
		}
		if diff := cmp.Diff(tt.want, err.Error()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.text, diff)
		}
	}
}

func TestParseSteeringSettings(t *testing.T) {
	good, err := os.ReadFile("../../../examples/platform/host.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("host.json", good)
	if err != nil {
		t.Fatal(err)
	}
	want := &daisygap.SteeringSettings{
		ReadyAddress: "10.1.0.34:8542", DirectoryAddress: "10.1.0.34:8546", MetricsAddress: "10.1.0.34:7555",
		Domains:    map[string]string{"north-a": "north", "south-a": "south"},
		RetryRatio: 0.2, RetrySlack: 62, RetryWindow: "10s", Grace: "6s", GCPercent: 25,
	}
	if diff := cmp.Diff(want, s.Steering); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	tests := []struct{ from, to, want string }{
		{`"10s"`, `"soon"`, `host.json: steering.window: expected a duration with a unit, found soon`},
		{`"ratio": 0.2`, `"ratio": 2`, `host.json: steering.ratio: expected a fraction from 0 to 1, found 2`},
		{`"gc": 25`, `"gc": -1`, `host.json: steering.gc: expected a percentage from 0 to 1000, found -1`},
		{`"gc": 25`, `"gc": 25, "memory": 8`, `host.json: steering.memory: expected 0 or at least 32 megabytes, found 8`},
		{`"gc": 25`, `"gc": 1001`, `host.json: steering.gc: expected a percentage from 0 to 1000, found 1001`},
		{`"grace": "6s"`, `"grace": null`, `host.json: steering.grace: expected a duration with a unit, above 0`},
		{`"domain": "north-a"`, `"domain": "west"`, `host.json: steering.domains: expected the region of each domain, including west`},
		{`"10.1.0.34:8546"`, `"nowhere"`, `host.json: steering.directory: expected an IP address and port, found "nowhere"`},
	}
	for _, tt := range tests {
		_, err := Parse("host.json", []byte(strings.Replace(string(good), tt.from, tt.to, 1)))
		if err == nil {
			t.Errorf("invalid settings accepted: %s", tt.to)
			continue
		}
		if diff := cmp.Diff(tt.want, err.Error()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.to, diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host":"a"}`))
	f.Add([]byte(`{"peers":[1]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil && (s.Host == "" || s.Token == "" && s.Steering == nil) {
			t.Error("settings without a host or token accepted")
		}
	})
}
