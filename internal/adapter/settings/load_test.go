package settings

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFaultsNameTheField(t *testing.T) {
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
			t.Errorf("%s was accepted", tt.text)
			continue
		}
		if diff := cmp.Diff(tt.want, err.Error()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.text, diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host":"a"}`))
	f.Add([]byte(`{"peers":[1]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil && (s.Host == "" || s.Token == "") {
			t.Error("settings without a host or a token were accepted")
		}
	})
}
