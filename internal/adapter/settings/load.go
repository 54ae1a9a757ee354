package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/configuration"
)

// Load reads and validates a settings file.
func Load(file string) (*daisygap.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, daisygap.WrapError("read settings", file, err)
	}
	return Parse(file, data)
}

// Parse decodes and validates settings in JSON. The file argument is used in errors only. Errors name the file, the field
// and the expected value.
func Parse(file string, data []byte) (*daisygap.Settings, error) {
	s := &daisygap.Settings{LogLevel: "info"}
	if err := configuration.DecodeStrict(file, data, s); err != nil {
		return nil, err
	}
	if err := check(s); err != nil {
		var field *daisygap.FieldError
		if errors.As(err, &field) {
			field.File = file
		}
		return nil, err
	}
	return s, nil
}

func check(s *daisygap.Settings) error {
	for _, f := range []struct{ name, value string }{
		{"host", s.Host}, {"domain", s.Domain}, {"region", s.Region},
	} {
		if f.value == "" {
			return &daisygap.FieldError{Field: f.name, Want: "a name", Got: `""`}
		}
	}
	addresses := []namedAddress{{"caller", s.CallerAddress}, {"peer", s.PeerAddress}}
	if p := s.Steering; p != nil {
		addresses = append(addresses, namedAddress{"steering.ready", p.ReadyAddress}, namedAddress{"steering.directory", p.DirectoryAddress}, namedAddress{"steering.metrics", p.MetricsAddress})
	} else {
		addresses = append(addresses, namedAddress{"carry", s.ForwardAddress}, namedAddress{"operator", s.OperatorAddress})
	}
	for _, f := range addresses {
		if err := checkAddress(f.name, f.value); err != nil {
			return err
		}
	}
	for _, p := range s.Peers {
		if err := checkAddress("peers", p); err != nil {
			return err
		}
	}
	for _, t := range s.TrustedPrefixes {
		if _, err := netip.ParsePrefix(t); err != nil {
			return &daisygap.FieldError{Field: "trust", Want: "an address prefix", Got: `"` + t + `"`}
		}
	}
	if u, err := url.Parse(s.StoreAddress); err != nil || u.Host == "" {
		return &daisygap.FieldError{Field: "store", Want: "the URL of the key-value service", Got: `"` + s.StoreAddress + `"`}
	}
	if s.Steering != nil {
		if err := checkSteering(s.Steering, s.Domain); err != nil {
			return err
		}
	} else if s.Token == "" {
		return &daisygap.FieldError{Field: "token", Want: "a bearer token for operators' writes", Got: `""`}
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return &daisygap.FieldError{Field: "level", Want: "debug, info, warning or error", Got: `"` + s.LogLevel + `"`}
	}
	if s.Linger < 0 {
		return &daisygap.FieldError{Field: "linger", Want: "a non-negative number of milliseconds", Got: "a negative number"}
	}
	return nil
}

// namedAddress is an address with the name of its setting.
type namedAddress struct{ name, value string }

// minMemoryMB is the least memory with which a daemon serves.
const minMemoryMB = 32

// maxGCPercent bounds the growth of the heap between two collections.
const maxGCPercent = 1_000

func checkSteering(s *daisygap.SteeringSettings, domain string) error {
	switch {
	case s.Domains[domain] == "":
		return &daisygap.FieldError{Field: "steering.domains", Want: "the region of each domain, including " + domain, Got: ""}
	case s.RetryRatio < 0 || s.RetryRatio > 1:
		return &daisygap.FieldError{Field: "steering.ratio", Want: "a fraction from 0 to 1", Got: strconv.FormatFloat(s.RetryRatio, 'g', -1, 64)}
	case s.MemoryMB < 0 || s.MemoryMB > 0 && s.MemoryMB < minMemoryMB:
		return &daisygap.FieldError{Field: "steering.memory", Want: fmt.Sprintf("0 or at least %d megabytes", minMemoryMB), Got: strconv.Itoa(s.MemoryMB)}
	case s.GCPercent < 0 || s.GCPercent > maxGCPercent:
		return &daisygap.FieldError{Field: "steering.gc", Want: fmt.Sprintf("a percentage from 0 to %d", maxGCPercent), Got: strconv.Itoa(s.GCPercent)}
	}
	if s.AdvertiseAddress != "" {
		if err := checkAddress("steering.advertise", s.AdvertiseAddress); err != nil {
			return err
		}
	}
	if _, err := s.RetryWindow.Millis(); err != nil {
		return &daisygap.FieldError{Field: "steering.window", Want: "a duration with a unit", Got: string(s.RetryWindow)}
	}
	if grace, err := s.Grace.Millis(); err != nil || grace == 0 {
		return &daisygap.FieldError{Field: "steering.grace", Want: "a duration with a unit, above 0", Got: string(s.Grace)}
	}
	return nil
}

func checkAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &daisygap.FieldError{Field: field, Want: "an IP address and port", Got: `"` + value + `"`}
	}
	return nil
}

// LoadTLS reads the certificates for the connections between daemons and to the operator API. A client must present a
// certificate of the CA. LoadTLS returns nil configurations for nil settings.
func LoadTLS(t *daisygap.TLS) (server, client *tls.Config, err error) {
	if t == nil {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, nil, daisygap.WrapError("read certificate", t.Cert, err)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, nil, daisygap.WrapError("read CA", t.CA, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, daisygap.WrapError("read CA", t.CA, errors.New("no certificate in the file"))
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool}
	return server, client, nil
}
