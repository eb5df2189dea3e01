// Command moved shows whether an entry follows the store to the address that its settings name
// after a SIGHUP. TROUBLE=0 leaves the store and the settings as they are. It exits with 1 if a
// route is refused later than config_apply_ms after its configuration was acknowledged, or a route
// that was dropped still runs, 0 if not, and 2 if it could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/review/bed3"
)

const (
	// stability and configApply are stability_ms and config_apply_ms of the settings.
	stability   = 3 * time.Second
	configApply = 2 * time.Second
	asked       = 20
)

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		code = 2
	}
	os.Exit(code)
}

func run(trouble bool) (int, error) {
	b, err := bed3.New(os.Args[1])
	if err != nil {
		return 2, err
	}
	defer b.Close()
	before, err := b.NewLink(b.IP(2)+":8007", b.Store.Address())
	if err != nil {
		return 2, err
	}
	b.PutConfig(1, bed3.NewRoute("/kept/", "idempotent"), bed3.NewRoute("/dropped/", "idempotent"))
	err = b.StartServer(20, "i-7f3a91c2", func(x *bed3.Exchange) {
		x.Body()
		x.Done()
	})
	if err != nil {
		return 2, err
	}
	settings := bed3.Settings{Name: "edge-kigali-a-1", IP: b.IP(10), Zone: "kigali-a", Store: before.Address}
	entry, err := b.StartEntry(settings)
	if err != nil {
		return 2, err
	}
	caller := b.NewCaller()
	if a := caller.Send(entry, http.MethodGet, "/kept/x", "a-first", "", time.Second); a.Status != http.StatusOK {
		return 2, fmt.Errorf("first request: %+v", a)
	}
	if trouble {
		after, err := b.NewLink(b.IP(3)+":8007", b.Store.Address())
		if err != nil {
			return 2, err
		}
		settings.Store = after.Address
		if err := entry.WriteSettings(settings); err != nil {
			return 2, err
		}
		b.Note("the settings name the store at %s, which answers there and at %s", after.Address, before.Address)
		entry.Signal(syscall.SIGHUP)
		// The store leaves its former address only after the bound of a configuration.
		time.Sleep(configApply)
		before.Close()
		b.Note("the store has left %s", before.Address)
	}
	time.Sleep(2 * stability)
	b.PutConfig(2, bed3.NewRoute("/kept/", "idempotent"), bed3.NewRoute("/added/", "idempotent"))
	time.Sleep(configApply + 500*time.Millisecond)
	refused, ran := 0, 0
	for i := range asked {
		if a := caller.Send(entry, http.MethodGet, "/added/x", fmt.Sprintf("a-added-%d", i), "", time.Second); a.Status == http.StatusNotFound {
			refused++
		}
		if a := caller.Send(entry, http.MethodGet, "/dropped/x", fmt.Sprintf("a-dropped-%d", i), "", time.Second); a.Status == http.StatusOK {
			ran++
		}
		time.Sleep(500 * time.Millisecond)
	}
	fmt.Printf("later than config_apply_ms: %d of %d requests of the added route refused, %d of %d of the dropped one run\n", refused, asked, ran, asked)
	if refused+ran > 0 {
		return 1, nil
	}
	return 0, nil
}
