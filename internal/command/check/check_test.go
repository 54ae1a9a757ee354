package check

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/subcommands"
	"golang.org/x/tools/txtar"

	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/policy/validation"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// run runs the command in the current directory and returns its exit code and output.
func run(args ...string) (status subcommands.ExitStatus, stdout, stderr string) {
	var out, errs bytes.Buffer
	c := &Command{Output: term.Output{Out: &out, Err: &errs}}
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	c.SetFlags(f)
	if err := f.Parse(args); err != nil {
		return subcommands.ExitUsageError, "", err.Error()
	}
	status = c.Execute(context.Background(), f)
	return status, out.String(), errs.String()
}

// TestGolden runs the sessions in testdata. The comment of an archive holds the arguments in its last line; its last file is the expected
// output. A file with the ending .listing holds server entries that become a listing of the store.
func TestGolden(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(archives) == 0 {
		t.Fatalf("no sessions in testdata: %v", err)
	}
	for _, name := range archives {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			if err != nil {
				t.Fatal(err)
			}
			golden := &archive.Files[len(archive.Files)-1]
			directory := t.TempDir()
			for _, f := range archive.Files[:len(archive.Files)-1] {
				data := f.Data
				if strings.HasSuffix(f.Name, ".listing") {
					data = listing(t, data)
				}
				if err := os.WriteFile(filepath.Join(directory, f.Name), data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			lines := strings.Split(strings.TrimSpace(string(archive.Comment)), "\n")
			path, err := filepath.Abs(name)
			if err != nil {
				t.Fatal(err)
			}
			t.Chdir(directory)
			status, stdout, stderr := run(strings.Fields(lines[len(lines)-1])...)
			got := fmt.Sprintf("%s%sexit code %d\n", stdout, stderr, status)
			if *update {
				golden.Data = []byte(got)
				if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(golden.Data), got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// listing encodes lines of a server's ID and its entry as the store's listing.
func listing(t *testing.T, data []byte) []byte {
	t.Helper()
	var items []map[string]string
	for line := range strings.Lines(string(data)) {
		id, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		items = append(items, map[string]string{"key": "servers/" + id, "value": base64.StdEncoding.EncodeToString([]byte(value))})
	}
	encoded, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

const secret = `example"key\with&<odd> characters`

// platformDocument returns a configuration in which the customer u has the secret as its key.
func platformDocument(version, routes, services, customers, limits string) string {
	return `{"version":` + version + `,
		"routes":` + routes + `,"services":` + services + `,"tenants":` + customers + `,"limits":` + limits + `}`
}

// replacePositions returns the document with each value in turn replaced by the secret: every cell, column, name and scalar.
func replacePositions(t *testing.T, document string) []string {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(document))
	var value any
	if err := d.Decode(&value); err != nil {
		t.Fatal(err)
	}
	var list []string
	emit := func() {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, string(encoded))
	}
	var visit func(v any, set func(any))
	visit = func(v any, set func(any)) {
		for _, key := range []any{secret, []any{secret}, map[string]any{secret: secret}} {
			set(key)
			emit()
		}
		set(v)
		switch v := v.(type) {
		case []any:
			for i := range v {
				visit(v[i], func(x any) { v[i] = x })
			}
		case map[string]any:
			for _, name := range slices.Sorted(maps.Keys(v)) {
				old := v[name]
				visit(old, func(x any) { v[name] = x })
				delete(v, name)
				v[secret] = old
				emit()
				delete(v, secret)
				v[name] = old
			}
		}
	}
	// A document that is replaced as a whole has no keys by which the secret could be recognized.
	top := value.(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(top)) {
		visit(top[name], func(x any) { top[name] = x })
	}
	return list
}

// TestKeysAreNeverShown guards against a key in the output, wherever in the checked file or in the version in force it stands by mistake.
func TestKeysAreNeverShown(t *testing.T) {
	t.Chdir(t.TempDir())
	quoted, err := json.Marshal(secret)
	if err != nil {
		t.Fatal(err)
	}
	valid := platformDocument(`"2"`,
		`{"columns":["name","host","prefix","kind","timeout","target_latency","priority","max_attempts","session_affinity","home_regions","public","service","traffic_split"],
		"rows":[["r","a.example","/a/","safe","1s","250ms",1,2,true,["north"],false,"s",[{"service":"s","weight":1}]]]}`,
		`{"columns":["name","health_check_path","max_connections","cold_start","cold_per_s"],"rows":[["s","/health",3,"3s",13]]}`,
		`{"columns":["name","api_keys","priority","rate_per_s","burst","home_regions"],
		"rows":[["t",["another-key"],1,2,3,["north"]],["u",[`+string(quoted)+`],1,2,3,["south"]]]}`,
		`{"max_header_bytes":1,"max_body_bytes":1,"header_timeout":"3s","idle_timeout":"15s"}`)
	entry := `{"lookup":{"ttl":1,"answers":1,"step":1,"site":"x"},"regions":{"r":{"near":[]}},"domains":{"d":{"region":"r"}},"sites":{"x":{"region":"r"}},
		"kinds":{"k":{"rank":"normal","repeat":true,"target":500,"most":900,"floor":0,"worth":1,"queue":1,"retry":0,"match":[{"path":"/"}]}},
		"groups":{"g":{"kinds":["k"],"warm":1,"eject":0}},"blocks":{"10.0.0.0/8":"x"},"drains":{"domains":{"d":false}},
		"upstreams":{"u":{"group":"g","domain":"d","address":"10.0.0.1:80","slots":1,"connections":1}},
		"keys":{"k1":` + string(quoted) + `,"k2":"MDEyMzQ1Njc4OTAxMjM0NTY3ODk="},"sign":"k2"}`
	settings := `{"host":"h","domain":"a","region":"north","caller":"10.1.0.1:1","peer":"10.1.0.1:2","store":"http://10.2.0.1:1","peers":["10.1.0.1:2"],
		"steering":{"ready":"10.1.0.1:3","directory":"10.1.0.1:4","metrics":"10.1.0.1:5","domains":{"a":"north"},"ratio":0.2,"slack":1,"window":"10s","grace":"6s"}}`
	write(t, "host.json", settings)
	runs, redacted := 0, 0
	for _, document := range []string{valid, entry} {
		write(t, "valid.json", document)
		for _, variant := range replacePositions(t, document) {
			write(t, "variant.json", variant)
			for _, args := range [][]string{
				{"variant.json"},
				{"host.json", "variant.json"},
				{"--json", "variant.json"},
				{"--against", "valid.json", "variant.json"},
				{"--against", "variant.json", "valid.json"},
				{"--json", "--against", "valid.json", "variant.json"},
			} {
				_, stdout, stderr := run(args...)
				runs++
				if strings.Contains(stdout+stderr, "[redacted]") {
					redacted++
				}
				if shows(stdout+stderr, secret) {
					t.Fatalf("check %v shows the key:\n%s%s\nfile: %s", args, stdout, stderr, variant)
				}
			}
		}
	}
	if redacted == 0 {
		t.Errorf("none of %d runs has a place where the key was left out", runs)
	}
	t.Logf("%d runs, %d with the key left out", runs, redacted)
}

// TestNumericKeysAreNeverShown guards against a key that was written as a number, which another column may show as its value.
func TestNumericKeysAreNeverShown(t *testing.T) {
	t.Chdir(t.TempDir())
	document := func(priority, keys string) string {
		return platformDocument(`"2"`, `{}`, `{}`,
			`{"columns":["name","api_keys","priority"],"rows":[["a",["k"],`+priority+`],["b",`+keys+`,1]]}`, `{"max_body_bytes":`+priority+`}`)
	}
	write(t, "force.json", document("5", `["k2"]`))
	for _, keys := range []string{`[98765432]`, `98765432`, `["98765432"]`} {
		write(t, "next.json", document("98765432", keys))
		for _, args := range [][]string{{"next.json"}, {"--against", "force.json", "next.json"}, {"--json", "--against", "force.json", "next.json"}} {
			if _, stdout, stderr := run(args...); strings.Contains(stdout+stderr, "98765432") {
				t.Errorf("check %v with keys %s shows the key:\n%s%s", args, keys, stdout, stderr)
			}
		}
	}
}

// shows reports whether an output contains a secret as it is, quoted, or in JSON.
func shows(output, secret string) bool {
	plain := strings.NewReplacer(`\"`, `"`, `\\`, `\`, `\u0026`, `&`, `\u003c`, `<`, `\u003e`, `>`)
	for range 3 {
		if strings.Contains(output, secret) || strings.Contains(output, "odd> characters") {
			return true
		}
		output = plain.Replace(output)
	}
	return false
}

func write(t testing.TB, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// FuzzCheck guards against a panic on a file of any content, in both formats and also as the version in force.
func FuzzCheck(f *testing.F) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range archives {
		archive, err := txtar.ParseFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(archive.Files[0].Data, archive.Files[len(archive.Files)-2].Data)
	}
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		domains := map[string]string{"north-a": "north"}
		for _, facts := range []validation.Facts{{}, {Domains: domains, HasInstances: true}} {
			in := &input{against: "first.json", againstData: unwrap(first), facts: facts}
			in.check(inputFile{name: "second.json", data: second})
		}
	})
}

// BenchmarkCustomers checks a configuration of 100,000 customers, alone and against the version in force, of which each tenth customer has
// another key, and one that gives a warning for each customer.
func BenchmarkCustomers(b *testing.B) {
	b.Chdir(b.TempDir())
	document := func(version, changed string) string {
		var rows strings.Builder
		for i := range 100_000 {
			if i > 0 {
				rows.WriteString(",")
			}
			key := ""
			if i%10 == 0 {
				key = changed
			}
			fmt.Fprintf(&rows, `["customer-%06d",["example-key-%06d-1%s","example-key-%06d-2"],%d,%d,20,["north","south"]]`, i, i, key, i, i%4, 2+i%700)
		}
		return platformDocument(version,
			`{"columns":["name","host","prefix","kind","timeout","target_latency","service","home_regions"],
			"rows":[["r","a.example","/a/","safe","1s","250ms","s",["north"]]]}`,
			`{"columns":["name"],"rows":[["s"]]}`,
			`{"columns":["name","api_keys","priority","rate_per_s","burst","home_regions"],"rows":[`+rows.String()+`]}`, `{}`)
	}
	write(b, "next.json", document(`"2"`, "b"))
	write(b, "force.json", document(`"1"`, "a"))
	write(b, "odd.json", strings.ReplaceAll(document(`"2"`, "b"), `["north","south"]`, `["south"]`))
	for name, args := range map[string][]string{"warnings": {"--json", "odd.json"}, "alone": {"next.json"}, "against": {"--against", "force.json", "next.json"}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if status, _, stderr := run(args...); status != subcommands.ExitSuccess {
					b.Fatal(stderr)
				}
			}
		})
	}
}
