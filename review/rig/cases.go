package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// startSite starts two daemons and waits until they are ready.
func (r *rig) startSite() ([]*daemon, error) {
	var daemons []*daemon
	for _, x := range []struct{ name, zone string }{{"front-n-1-1", "n-1"}, {"front-n-2-1", "n-2"}} {
		d, err := r.addDaemon(x.name, x.zone)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	if err := r.awaitReady(daemons...); err != nil {
		return nil, err
	}
	// A second of calm, in which the daemons find each other.
	time.Sleep(time.Second)
	return daemons, nil
}

// Work of one kind of request at a server, like that of order-commit in the small sites: 480 ms on average, 1,440 ms at most, three
// tenths of that for an object that the server has handled.
const (
	meanWork = 480 * time.Millisecond
	longWork = 1_000 * time.Millisecond
	warmPart = 0.3
)

func orderWork(path string, warm bool) time.Duration {
	work := meanWork
	if strings.Contains(path, "long") {
		work = longWork
	}
	if warm {
		work = time.Duration(warmPart * float64(work))
	}
	return work
}

// halfClose has clients close the sending side of their connection after the request, and read on.
func halfClose(r *rig, trouble bool) (bool, error) {
	for i, zone := range []string{"n-1", "n-2"} {
		if err := r.addServer(&server{id: fmt.Sprintf("desk-%d", i), service: "desk", zone: zone, slots: 5, queue: 15, work: orderWork}); err != nil {
			return false, err
		}
	}
	if err := r.configure(routeRow{"orders", "/orders/", "unsafe", "desk", "2500ms", "800ms", 2}); err != nil {
		return false, err
	}
	daemons, err := r.startSite()
	if err != nil {
		return false, err
	}
	broken := 0
	for n := range 10 {
		object := fmt.Sprintf("object-%d", n)
		q := request{method: http.MethodPost, path: "/orders/" + object, object: object, body: "order", deadline: 2500 * time.Millisecond}
		c, err := r.connect(daemons[n%2])
		if err != nil {
			return false, err
		}
		a := c.send(q, trouble && n%3 == 1)
		c.close()
		if a.err == nil && a.status/100 == 2 && a.stamp == "" {
			broken++
			r.note("MIXED: the client of %s got a success without a server's Response-Stamp", a.id)
		}
	}
	return broken == 0, nil
}

// encodedSlash adds a route with a longer prefix while clients send paths in which a slash is percent-encoded.
func encodedSlash(r *rig, trouble bool) (bool, error) {
	for _, service := range []string{"stock", "desk"} {
		for i, zone := range []string{"n-1", "n-2"} {
			if err := r.addServer(&server{id: fmt.Sprintf("%s-%d", service, i), service: service, zone: zone, slots: 6, queue: 18, work: orderWork}); err != nil {
				return false, err
			}
		}
	}
	stock := routeRow{"stock", "/shop/", "safe", "stock", "2000ms", "800ms", 2}
	other := routeRow{"other", "/orders/", "unsafe", "desk", "2000ms", "800ms", 2}
	if err := r.configure(stock, other); err != nil {
		return false, err
	}
	daemons, err := r.startSite()
	if err != nil {
		return false, err
	}
	q := request{method: http.MethodGet, path: "/shop/orders%2F17/parts", object: "17", deadline: 2 * time.Second}
	if a := r.once(daemons[0], q); !a.served() {
		return false, fmt.Errorf("not served before the change: %s", a)
	}
	if trouble {
		if err := r.configure(stock, other, routeRow{"nested", "/shop/orders/", "unsafe", "desk", "2000ms", "800ms", 2}); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second) // configuration_apply
	}
	for n := range 10 {
		r.once(daemons[n%2], q)
	}
	broken := 0
	for id, list := range r.allRuns() {
		for _, x := range list {
			// No prefix but /shop/ begins this path, and that route has only ever named the service stock.
			if x.service != "stock" {
				broken++
				r.note("ROUTE: %s %s was run by service %s", id, x.path, x.service)
			}
		}
	}
	return broken == 0, nil
}

// crasherPause is the time between two requests of the other clients of a daemon, in a quiet hour.
const crasherPause = 3 * time.Second

// crasher sends a request that crashes each server that begins to run it, every few seconds, at any daemon. Other clients read and
// order other objects of the same servers.
func crasher(r *rig, trouble bool) (bool, error) {
	const back = 2500 * time.Millisecond
	for i, zone := range []string{"n-1", "n-1", "n-1", "n-2", "n-2", "n-2"} {
		s := &server{id: fmt.Sprintf("stock-%d", i), service: "stock", zone: zone, slots: 6, queue: 18, work: orderWork, back: back}
		if trouble {
			s.crashes = func(path string) bool { return strings.Contains(path, "poison") }
		}
		if err := r.addServer(s); err != nil {
			return false, err
		}
	}
	reads := routeRow{"reads", "/reads/", "safe", "stock", "2000ms", "800ms", 2}
	orders := routeRow{"orders", "/orders/", "unsafe", "stock", "2000ms", "800ms", 2}
	if err := r.configure(reads, orders); err != nil {
		return false, err
	}
	daemons, err := r.startSite()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, d := range daemons {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(crasherPause):
				}
				o := fmt.Sprintf("part-%d", (n*2+i)%40)
				q := request{method: http.MethodGet, path: "/reads/" + o, object: o, deadline: 2 * time.Second}
				if n%2 == 1 {
					q = request{method: http.MethodPost, path: "/orders/" + o, object: o, body: "order", deadline: 2 * time.Second}
				}
				r.once(d, q)
			}
		})
	}
	time.Sleep(5 * time.Second)
	var attempts []answer
	for n := range 16 {
		attempts = append(attempts, r.once(daemons[n%2], request{method: http.MethodGet, path: "/reads/poison", object: "poison", deadline: 2 * time.Second}))
		time.Sleep(3 * time.Second)
	}
	close(stop)
	group.Wait()
	runs := r.allRuns()
	var crashes []time.Time
	for _, a := range attempts {
		for _, x := range runs[a.id] {
			crashes = append(crashes, x.began)
		}
	}
	if !trouble || len(crashes) < 3 {
		return true, nil
	}
	r.note("the request crashed %d servers", len(crashes))
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[2].Add(4 * time.Second)
	reached := 0
	for _, a := range attempts {
		if len(runs[a.id]) > 0 && a.sent.After(from) {
			reached++
			r.note("BUDGET: attempt %s reached %d servers, %.1f s after the third crash", a.id, len(runs[a.id]), a.sent.Sub(crashes[2]).Seconds())
		}
	}
	r.note("%d attempts reached servers later than contact_window after the third crash", reached)
	return reached <= 3, nil
}

// bareRefusal has two of four servers send bytes of their own after few of their complete answers: a refusal that names no request,
// late, where the answer to the next request on the connection is expected.
func bareRefusal(r *rig, trouble bool) (bool, error) {
	var faulty []*server
	for i, zone := range []string{"n-1", "n-1", "n-2", "n-2"} {
		s := &server{id: fmt.Sprintf("desk-%d", i), service: "desk", zone: zone, slots: 5, queue: 15, work: orderWork}
		if i%2 == 0 {
			faulty = append(faulty, s)
		}
		if err := r.addServer(s); err != nil {
			return false, err
		}
	}
	if err := r.configure(routeRow{"orders", "/orders/", "unsafe", "desk", "2500ms", "800ms", 2}); err != nil {
		return false, err
	}
	daemons, err := r.startSite()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	for i := range orderClients {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				number := n*orderClients + i
				q := request{
					method: http.MethodPost, path: fmt.Sprintf("/orders/number-%d", number), object: fmt.Sprintf("object-%d", number%42),
					body: "order", deadline: 2500 * time.Millisecond,
				}
				a := r.once(daemons[i%2], q)
				mu.Lock()
				answers[a.id] = a
				mu.Unlock()
				if a.err == nil && promises(a.status) {
					// The answer promises that the order has not run, so that the client sends it again.
					a = r.once(daemons[i%2], q)
					mu.Lock()
					answers[a.id] = a
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	for _, s := range faulty {
		s.spoil(trouble)
	}
	time.Sleep(5 * time.Second) // garble lasts 5 s in the small sites
	for _, s := range faulty {
		s.spoil(false)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	time.Sleep(time.Second)
	broken := 0
	runs := r.allRuns()
	for id, a := range answers {
		if promises(a.status) && a.err == nil && len(runs[id]) > 0 {
			broken++
			r.note("REFUSED: the client of %s was told %d, which promises that it has not run and never will; server %s began it, and ran it to its end: %t",
				id, a.status, runs[id][0].server, runs[id][0].whole)
		}
	}
	twice := make(map[string][]string)
	for id, list := range runs {
		for _, x := range list {
			if x.whole {
				twice[x.path] = append(twice[x.path], id)
			}
		}
	}
	for path, ids := range twice {
		if len(ids) > 1 {
			r.note("the order %s was run to its end by attempts %s", path, strings.Join(ids, " and "))
		}
	}
	for _, s := range faulty {
		s.mu.Lock()
		r.note("server %s spoiled %d of %d answers meanwhile", s.id, s.spoiled, s.answered)
		s.mu.Unlock()
	}
	return broken == 0, nil
}

// orderClients is the number of clients that send one order after the other.
const orderClients = 12

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

const (
	// pausing is the number of clients that pause in a long body, pauseBytes what they send before, and pause how long they stay
	// idle: four fifths of idle_timeout at most.
	pausing    = 30
	longBody   = 2 << 20
	pauseBytes = 3 << 19
	pause      = 10 * time.Second
	// unanswered is the time after a route's timeout by which a request must have its final answer.
	unanswered = 500 * time.Millisecond
)

// pausedUploads has clients pause within a long body, while others send short orders to the same daemon.
func pausedUploads(r *rig, trouble bool) (bool, error) {
	for i := range 2 {
		zone := []string{"n-1", "n-2"}[i%2]
		if err := r.addServer(&server{id: fmt.Sprintf("desk-%d", i), service: "desk", zone: zone, slots: 5, queue: 15, work: orderWork}); err != nil {
			return false, err
		}
	}
	const timeout = 2 * time.Second
	if err := r.configure(routeRow{"orders", "/orders/", "unsafe", "desk", "2000ms", "800ms", 2}); err != nil {
		return false, err
	}
	daemons, err := r.startSite()
	if err != nil {
		return false, err
	}
	d := daemons[0]
	order := func(n int, body string) request {
		o := fmt.Sprintf("object-%d", n%20)
		return request{method: http.MethodPost, path: "/orders/" + o, object: o, body: body, deadline: 2500 * time.Millisecond}
	}
	for n := range 40 {
		if a := r.once(d, order(n, "order")); !a.served() {
			return false, fmt.Errorf("the usual traffic isn't served: %s", a)
		}
	}
	var group sync.WaitGroup
	answers := make([]answer, pausing)
	began := time.Now()
	for i := range pausing {
		group.Go(func() {
			c, err := r.connect(d)
			if err != nil {
				r.note("client: no connection: %v", err)
				return
			}
			defer c.close()
			q := order(i, strings.Repeat("x", longBody))
			if trouble {
				c.pauseAfter, c.pause = pauseBytes, pause
			}
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			answers[i] = c.send(q, false)
		})
	}
	refused, others := 0, 0
	for n := 0; time.Since(began) < pause; n++ {
		a := r.once(d, order(n, "order"))
		if time.Since(began) > timeout+time.Second {
			others++
			if !a.served() {
				refused++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	late := 0
	for _, a := range answers {
		if a.ended.Sub(a.sent) > timeout+unanswered {
			late++
			r.note("CONFIG: %s has no final answer %d ms after its route's timeout", a.id, unanswered.Milliseconds())
		}
	}
	r.note("%d of %d requests with long bodies had no final answer in time", late, pausing)
	r.note("meanwhile %d of %d short orders of other clients were not served", refused, others)
	return late < 8 || 4*late <= pausing, nil
}
