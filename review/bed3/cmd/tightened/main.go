// Command tightened shows whether entries keep to the bound of a configuration that their settings
// name after a SIGHUP, when their open channels to the store go silent. TROUBLE=0 leaves out the
// change of the settings and the silence; with TROUBLE=silence, the settings name the bounds from
// the start on. It exits with 1 if a route is refused later than config_apply_ms after its
// configuration was acknowledged, 0 if not, and 2 if it could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/review/bed3"
)

const (
	entries = 5
	// told of the entries get a SIGHUP, a share of 0.6.
	told   = 3
	rounds = 4
	// stability and configApply are the bounds in force, in milliseconds; the former ones are those
	// of umurage-crest-large.
	stability, configApply             = 3000, 2000
	formerStability, formerConfigApply = 5000, 4000
)

func main() {
	code, err := run(os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Println(err)
		code = 2
	}
	os.Exit(code)
}

type machine struct {
	entry    *bed3.Entry
	link     *bed3.Link
	settings bed3.Settings
}

func run(trouble string) (int, error) {
	b, err := bed3.New(os.Args[1])
	if err != nil {
		return 2, err
	}
	defer b.Close()
	routes := []bed3.Route{bed3.NewRoute("/kept/", "idempotent")}
	b.PutConfig(1, routes...)
	err = b.StartServer(20, "i-7f3a91c2", func(x *bed3.Exchange) {
		x.Body()
		x.Done()
	})
	if err != nil {
		return 2, err
	}
	hup := trouble != "0" && trouble != "silence"
	var machines []machine
	for i := range entries {
		link, err := b.NewLink(fmt.Sprintf("%s:8007", b.IP(100+i)), b.Store.Address())
		if err != nil {
			return 2, err
		}
		m := machine{link: link, settings: bed3.Settings{Name: fmt.Sprintf("edge-kigali-a-%d", i+1), IP: b.IP(10 + i), Zone: "kigali-a", Store: link.Address, StabilityMS: stability, ConfigApplyMS: configApply}}
		former := m.settings
		if hup {
			former.StabilityMS, former.ConfigApplyMS = formerStability, formerConfigApply
		}
		if m.entry, err = b.StartEntry(former); err != nil {
			return 2, err
		}
		machines = append(machines, m)
	}
	time.Sleep(formerConfigApply * time.Millisecond)
	if hup {
		for _, m := range machines[:told] {
			if err := m.entry.WriteSettings(m.settings); err != nil {
				return 2, err
			}
			b.Note("the settings of %s name stability_ms %d and config_apply_ms %d", m.settings.Name, stability, configApply)
			m.entry.Signal(syscall.SIGHUP)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(formerStability * time.Millisecond)
	caller := b.NewCaller()
	late := 0
	for round := range rounds {
		if trouble != "0" {
			for _, m := range machines {
				m.link.Silence()
			}
			b.Note("the open channels to the store go silent")
		}
		time.Sleep((stability + 100) * time.Millisecond)
		prefix := fmt.Sprintf("/added-%d/", round)
		routes = append(routes, bed3.NewRoute(prefix, "idempotent"))
		b.PutConfig(2+round, routes...)
		time.Sleep((configApply + 100) * time.Millisecond)
		late += ask(b, caller, machines[:told], prefix)
		time.Sleep(2 * stability * time.Millisecond)
	}
	fmt.Printf("%d requests refused with 404 later than config_apply_ms after the ack\n", late)
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}

// ask asks each machine for a route until it is served, and returns how often it was refused.
func ask(b *bed3.Bed, caller *bed3.Caller, machines []machine, prefix string) int {
	var mu sync.Mutex
	var asking sync.WaitGroup
	refused := 0
	for _, m := range machines {
		asking.Go(func() {
			began := time.Now()
			for i := range 50 {
				id := fmt.Sprintf("a%s%s-%d", prefix[1:len(prefix)-1], m.settings.Name, i)
				a := caller.Send(m.entry, http.MethodGet, prefix+"x", id, "", time.Second)
				if a.Status == http.StatusOK {
					b.Note("%s serves %s %d ms after the bound", m.settings.Name, prefix, time.Since(began).Milliseconds())
					return
				}
				if a.Status == http.StatusNotFound {
					mu.Lock()
					refused++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	return refused
}
