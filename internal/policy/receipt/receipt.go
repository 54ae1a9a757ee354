package receipt

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"

	"github.com/daisygap/daisygap"
)

// MaxLength is the length of the longest receipt that Verify accepts, in bytes.
const MaxLength = 2048

const (
	prefix    = "dg1"
	macLength = 16 // bytes of the truncated HMAC-SHA256
)

// The errors of Verify.
var (
	ErrFormat     = errors.New("not a receipt: want dg1.KEY.DATA.MAC, the text may be truncated")
	ErrUnknownKey = errors.New("the key that signed this receipt is no longer listed under keys")
	ErrSignature  = errors.New("the signature doesn't match: the receipt was changed or forged")
)

// payload is the signed content of a receipt. Its keys are single letters to keep the receipt short, and it doesn't contain
// the caller.
type payload struct {
	Reason  daisygap.Reason   `json:"w"`
	Run     daisygap.RunState `json:"x"`
	ID      string            `json:"i"`
	Kind    string            `json:"k"`
	Rank    daisygap.Rank     `json:"r"`
	Host    string            `json:"h"`
	Domain  string            `json:"d"`
	Version uint64            `json:"v"`
	Time    daisygap.Millis   `json:"t"`
	Retry   daisygap.Millis   `json:"a"`
	Metrics [5]int64          `json:"f"` // queued, running, limit, wait, time left
}

// Sign returns the receipt of a refusal, signed with the named key.
func Sign(r *daisygap.Refusal, name string, key []byte) string {
	f := r.Metrics
	data, err := json.Marshal(payload{
		Reason: r.Reason, Run: r.Run, ID: r.ID, Kind: r.Kind, Rank: r.Rank, Host: r.Host, Domain: r.Domain,
		Version: r.Version, Time: r.Time, Retry: r.RetryAfter,
		Metrics: [5]int64{int64(f.Queued), int64(f.Running), int64(f.Limit), int64(f.Wait), int64(f.TimeLeft)},
	})
	if err != nil {
		return ""
	}
	signed := prefix + "." + name + "." + base64.RawURLEncoding.EncodeToString(data)
	return signed + "." + base64.RawURLEncoding.EncodeToString(computeMAC(signed, key))
}

// Verify checks the signature of a receipt against the keys by name and returns the refusal. The error is ErrFormat,
// ErrUnknownKey or ErrSignature.
func Verify(text string, keys map[string][]byte) (*daisygap.Refusal, error) {
	text = strings.TrimSpace(text)
	parts := strings.Split(text, ".")
	if len(text) > MaxLength || len(parts) != 4 || parts[0] != prefix {
		return nil, ErrFormat
	}
	key, ok := keys[parts[1]]
	if !ok {
		return nil, ErrUnknownKey
	}
	given, err := base64.RawURLEncoding.DecodeString(parts[3])
	if err != nil || len(given) != macLength {
		return nil, ErrFormat
	}
	if !hmac.Equal(given, computeMAC(strings.Join(parts[:3], "."), key)) {
		return nil, ErrSignature
	}
	data, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil {
		return nil, ErrFormat
	}
	var w payload
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, ErrFormat
	}
	return &daisygap.Refusal{
		Reason: w.Reason, Run: w.Run, ID: w.ID, Kind: w.Kind, Rank: w.Rank, Host: w.Host, Domain: w.Domain,
		Version: w.Version, Time: w.Time, RetryAfter: w.Retry,
		Metrics: daisygap.RefusalMetrics{
			Queued: int(w.Metrics[0]), Running: int(w.Metrics[1]), Limit: int(w.Metrics[2]),
			Wait: daisygap.Millis(w.Metrics[3]), TimeLeft: daisygap.Millis(w.Metrics[4]),
		},
	}, nil
}

// computeMAC returns the HMAC-SHA256 of the signed text, truncated to macLength bytes.
func computeMAC(signed string, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(signed))
	return h.Sum(nil)[:macLength]
}
