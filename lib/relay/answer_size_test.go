package relay

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/watch"
)

var _ = Describe("An instance that answers", func() {
	// answering starts an instance whose answers are given by answers, one for each query;
	// the last one is repeated.
	answering := func(answers ...*answer) *instance {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					decoder := msgstream.NewDecoder(conn, bufferSize, maxQuerySize)
					for i := 0; ; i++ {
						var q query
						if decoder.Decode(&q) != nil || msgstream.Encode(conn, answers[min(i, len(answers)-1)]) != nil {
							return
						}
					}
				}()
			}
		}()
		return &instance{ln: ln}
	}

	It("with rows that are much larger than their compressed data does not exhaust the memory of its followers", func() {
		// Guards against an answer within the size limit whose rows take gigabytes.
		zeros := encodeRow(watch.Row{Key: "k", Data: bytes.Repeat([]byte{0}, maxRowSize), Revision: 1})
		Expect(len(zeros.Data)).To(BeNumerically("<", maxRowSize/100))
		bomb := &answer{Revision: 1}
		for range 60 {
			bomb.Rows = append(bomb.Rows, zeros)
		}
		c := client{table: "t", answerTimeout: 10 * time.Second}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := c.fetch(context.Background(), answering(bomb).address(), -1, 0)
		runtime.ReadMemStats(&after)
		Expect(err).To(MatchError(errTableTooLarge))
		// Decompression allocates a few times what it returns.
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 8*maxTableSize))
	})
})
