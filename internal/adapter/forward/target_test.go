package forward

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// receive returns a request with a target as a server receives it, or false if net/http rejects it.
func receive(target string) (*http.Request, bool) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
	return r, err == nil
}

// forwarded returns the target that the next server receives, or false if the request can't be forwarded unchanged.
func forwarded(t testing.TB, r *http.Request) (string, bool) {
	t.Helper()
	u, ok := TargetOf(r).URL("127.0.0.1:80")
	if !ok {
		return "", false
	}
	var wire bytes.Buffer
	out := &http.Request{Method: r.Method, URL: u, Host: r.Host, Header: http.Header{}}
	if err := out.Write(&wire); err != nil {
		t.Fatalf("%q: %v", r.RequestURI, err)
	}
	next, err := http.ReadRequest(bufio.NewReader(&wire))
	if err != nil {
		t.Fatalf("%q: forwarded as %q: %v", r.RequestURI, wire.String(), err)
	}
	return next.RequestURI, true
}

// targets are corner cases of RFC 3986 and RFC 9112.
var targets = []string{
	"/", "/a", "/a/", "/a/b/c", "//", "//a/b", "/a//b", "/a///", "///a", "/.", "/..", "/a/./b", "/a/../b", "/a/b/..", "/../a",
	"/a%2Fb", "/a%2fb/", "/%2F", "/a%2F..%2Fb", "/a%2Fb/c%2Fd", "/%2E%2E/a", "/%61", "/a%20b", "/a+b", "/a%00b", "/%", "/%zz", "/a%2",
	"/a|b%2Fc", "/a|b", "//a|b", "//a%7Cb", "//a%2Fb", "/a\\b", "/a\"b", "/a<b>", "/a^b`c{d}", "/[a]", "/a;b=c", "/a:b", "/a@b", "/a,b",
	"/a!$&'()*+,;=:@", "/~a-b_c.d", "/caf\xc3\xa9", "/caf%C3%A9", "/\xff", "/a#b", "/a%23b", "/a?", "/a?b", "/a?b=c&d", "/a??", "/a?b?c",
	"/a?b/c", "/a?%2F", "/a?b|c", "/a?b#c", "/a%3Fb", "/a%3Fb?c", "//?", "//a?b|c", "/a?b=\xc3\xa9", "?a", "*", "a.example:80",
	"http://a.example", "http://a.example/", "http://a.example/a%2Fb?c", "http://a.example?b", "http://a.example//a", "http://a.example/a|b",
	"http://user@a.example/a", "http:/a", "/http://a/b",
}

// TestTargetsAreForwardedUnchanged guards against a route that is chosen by other bytes of the path than the upstream gets.
func TestTargetsAreForwardedUnchanged(t *testing.T) {
	var got strings.Builder
	for _, target := range targets {
		r, ok := receive(target)
		if !ok {
			_, _ = fmt.Fprintf(&got, "%q rejected by net/http\n", target)
			continue
		}
		next, ok := forwarded(t, r)
		if !ok {
			_, _ = fmt.Fprintf(&got, "%q path %q refused\n", target, TargetOf(r).Path)
			continue
		}
		_, _ = fmt.Fprintf(&got, "%q path %q forwarded %q\n", target, TargetOf(r).Path, next)
	}
	file := filepath.Join("testdata", "targets.golden")
	if *update {
		if err := os.WriteFile(file, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// FuzzTarget checks that what the routes see is what is forwarded, and that a target in origin form isn't changed.
func FuzzTarget(f *testing.F) {
	for _, target := range targets {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r, ok := receive(target)
		if !ok || r.RequestURI != target {
			return
		}
		next, ok := forwarded(t, r)
		switch {
		case !ok:
			if !strings.HasPrefix(TargetOf(r).Path, "//") {
				t.Errorf("%q is refused", target)
			}
		case next != TargetOf(r).String():
			t.Errorf("%q: the routes see %q, forwarded as %q", target, TargetOf(r), next)
		case strings.HasPrefix(target, "/") && next != target:
			t.Errorf("%q is forwarded as %q", target, next)
		}
	})
}
