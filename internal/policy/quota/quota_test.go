package quota

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/daisygap/daisygap"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var hosts = []string{"a", "b", "c", "d", "e"}

func TestSharesSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1_000).Draw(t, "limit")
		members := hosts[:rapid.IntRange(1, len(hosts)).Draw(t, "members")]
		name := rapid.String().Draw(t, "name")
		sum := int64(0)
		for _, m := range members {
			share := Share(limit, name, m, members)
			if more := Share(limit+1, name, m, members); more < share {
				t.Fatalf("the share of %s falls from %d to %d when the limit rises by 1", m, share, more)
			}
			sum += share
		}
		if sum != limit {
			t.Fatalf("the shares of a limit of %d sum to %d", limit, sum)
		}
	})
}

// TestLentRatesNeverExceedLimit guards against a rate that lender and borrower use at the same time, because the response
// to the borrower was delayed or delivered twice.
func TestLentRatesNeverExceedLimit(t *testing.T) {
	const limit = 1_000
	borrowed := false
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rates := make([]Rate, 4)
		for i := range rates {
			rates[i].Share = Share(limit, "link", hosts[i], hosts[:4])
		}
		type delivery struct {
			at      daisygap.Millis
			deliver func(now daisygap.Millis)
		}
		var pending []delivery
		for now := daisygap.Millis(0); now < 20_000; now += 1 + daisygap.Millis(random.IntN(50)) {
			var rest []delivery
			for _, p := range pending {
				if now < p.at {
					rest = append(rest, p)
					continue
				}
				p.deliver(now)
			}
			pending = rest
			from, to := random.IntN(4), random.IntN(4)
			if from != to {
				asked := now - daisygap.Millis(random.IntN(300))
				id, amount := rates[from].Lend(int64(random.IntN(300)), int64(random.IntN(200)), now)
				for range random.IntN(3) {
					pending = append(pending, delivery{now + daisygap.Millis(random.IntN(2_000)), func(now daisygap.Millis) {
						if amount > 0 {
							rates[to].Borrow(hosts[from], id, amount, asked, now)
							borrowed = true
						}
					}})
				}
			}
			sum := int64(0)
			for i := range rates {
				sum += rates[i].Effective(now)
			}
			if sum > limit {
				t.Fatalf("at %d ms the daemons may use %d in total, the limit is %d", now, sum, limit)
			}
		}
	})
	if !borrowed {
		t.Error("no rate was borrowed in any run")
	}
}

func BenchmarkShare(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Share(1_000, "upstream-17", "c", hosts)
	}
}

func BenchmarkRateEffective(b *testing.B) {
	r := Rate{Share: 1_000}
	r.Borrow("a", 1, 10, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Effective(5)
	}
}
