package processes_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/standin/service"
)

// peakMemory returns the most memory that the process has held so far, in bytes.
func (d *daemon) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	Expect(match).NotTo(BeNil())
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return kilobytes << 10
}

var _ = Describe("Separate processes with little memory", func() {
	It("keep to it in a burst of long bodies, and lose none that has run", func() {
		// Guards against daemons that end in a burst which their configuration allows.
		const callers, rounds, size = 60, 3, 4 << 20
		f := newFleet(nil, 1, "kigali")
		f.publish("v1", 1)
		f.apply(f.declaration("v1", 1), 0)
		body := bytes.Repeat([]byte("x"), size)
		send := func(key string) deployment.Answer {
			return f.callers.Send(context.Background(), "http://"+f.entries[0].callers, deployment.Call{
				Service: "orders", Tenant: "engravers", RequestID: key, IdempotencyKey: key, Body: body,
			})
		}
		tries := 0
		Eventually(func() string {
			tries++
			return send(fmt.Sprint("ready-", tries)).Outcome
		}).WithTimeout(settleTime).Should(Equal("completed"))

		outcomes := make(map[string]int)
		var mu sync.Mutex
		var sending sync.WaitGroup
		for i := range callers {
			sending.Go(func() {
				defer GinkgoRecover()
				for round := range rounds {
					key := fmt.Sprintf("plate-%d-%d", i, round)
					for deadline := time.Now().Add(time.Minute); ; {
						a := send(key)
						mu.Lock()
						outcomes[a.Outcome+" "+a.Reason]++
						mu.Unlock()
						if a.Outcome == "completed" {
							// The answer of the stand-in contains the number of runs.
							Expect(bytes.Equal(a.Body, service.ExpectedResponse("/orders", key, body))).To(BeTrue(), "ran more than once: %s", key)
							break
						}
						Expect(a.Outcome).To(Or(Equal("not_run"), Equal("connection_broken")), a.Reason)
						Expect(time.Now()).To(BeTemporally("<", deadline), "not served: %s, %v", key, outcomes)
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
		sending.Wait()
		GinkgoWriter.Println(outcomes)
		for _, d := range f.all() {
			Expect(d.running()).To(BeTrue(), string(d.instance.ID))
			peak := d.peakMemory()
			GinkgoWriter.Printf("%s: %d bytes\n", d.instance.ID, peak)
			Expect(peak).To(BeNumerically("<=", int64(memoryLimit)), string(d.instance.ID))
		}
		Expect(f.metricsOf(f.entries[0])).To(MatchRegexp(`auburnbend_memory_refusals_total{kind="request"} [1-9]`))
	})
})
