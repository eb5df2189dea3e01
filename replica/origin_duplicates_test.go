package replica_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform"
)

// duplicatingOrigin is an origin that sends each response once more on the same
// connection: before the next response, or with copyAtOnce in the same write.
type duplicatingOrigin struct {
	ln         net.Listener
	copyAtOnce bool
	// served counts the requests for pieces.
	served atomic.Int64
}

func newDuplicatingOrigin(copyAtOnce bool) *duplicatingOrigin {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	o := &duplicatingOrigin{ln: ln, copyAtOnce: copyAtOnce}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go o.serve(conn)
		}
	}()
	return o
}

func (o *duplicatingOrigin) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := o.body(r)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if o.copyAtOnce {
			earlier = response
		}
		fmt.Fprint(conn, earlier+response)
		earlier = response
	}
}

func (o *duplicatingOrigin) body(r *http.Request) []byte {
	version, err := strconv.Atoi(r.URL.Query().Get("version"))
	Expect(err).NotTo(HaveOccurred())
	if strings.Contains(r.URL.Path, "manifest") {
		manifest := map[string]any{"model_id": "m", "version": version}
		var hashes []string
		for p := range testPieces {
			digest := sha256.Sum256(pieceData(version, p))
			hashes = append(hashes, hex.EncodeToString(digest[:]))
		}
		manifest["hashes"] = hashes
		data, err := json.Marshal(manifest)
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	o.served.Add(1)
	piece, err := strconv.Atoi(r.URL.Query().Get("sample_size"))
	Expect(err).NotTo(HaveOccurred())
	return pieceData(version, piece)
}

var _ = DescribeTable("An origin that sends responses once more on a kept connection",
	// Guards against a connection on which each piece is the one before: the origin sent
	// more than two copies, and the version took four times as long.
	func(copyAtOnce bool) {
		origin := newDuplicatingOrigin(copyAtOnce)
		f := newFleet(1, 1)
		f.remoteOrigin = platform.NewOrigin(origin.ln.Addr().String())
		f.setTarget(2)
		start := time.Now()
		Eventually(f.serving(2), 20*time.Second).Should(BeTrue())
		f.expectUnmixed()
		AddReportEntry("pieces served", origin.served.Load())
		AddReportEntry("time", time.Since(start))
		Expect(origin.served.Load()).To(BeNumerically("<=", 2*testPieces))
	},
	Entry("before the next response", false),
	Entry("in the same write", true),
)
