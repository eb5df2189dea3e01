package processes_test

import (
	"bytes"
	"encoding/json"
	"net/http"

	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
	standin "github.com/auburnbend/auburnbend/standin/platform"
)

// platformClient controls the stand-ins of the platform over HTTP.
type platformClient struct{ url string }

func (p platformClient) put(path string, body []byte) {
	r, err := http.NewRequest(http.MethodPut, p.url+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(BeNumerically("<", http.StatusMultipleChoices), path)
}

func (p platformClient) putJSON(path string, value any) {
	body, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	p.put(path, body)
}

func (p platformClient) register(i backing.Instance) {
	p.putJSON(standin.InstancePath+"/instances", i)
}

func (p platformClient) tableFaults(f fault.Faults) { p.putJSON(standin.TablePath+"/faults", f) }

// putObject uploads an object to the origin.
func (p platformClient) putObject(name string, data []byte) {
	p.put(standin.OriginPath+"/objects/"+name, data)
}
