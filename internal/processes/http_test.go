package processes_test

import (
	"net/http"
	"time"
)

// httpTimeout bounds a call that is answered at once.
const httpTimeout = 5 * time.Second

// httpGet opens a connection of its own, as a balancer's check does.
func httpGet(url string) (*http.Response, error) {
	client := http.Client{Timeout: httpTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Get(url)
}
