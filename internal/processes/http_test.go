package processes_test

import (
	"net/http"
	"time"
)

// httpTimeout is the timeout of a request that the server answers immediately.
const httpTimeout = 5 * time.Second

// httpGet sends a GET request on a new connection, as the health check of a load
// balancer does. The caller closes the body.
func httpGet(url string) (*http.Response, error) {
	client := http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Get(url)
}
