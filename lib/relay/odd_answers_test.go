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

	It("a query twice is not taken to answer the next one", func() {
		// Guards against an answer with a few changes that is taken for the whole table, so
		// that all other servers or the configuration seem to be gone.
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			decoder := msgstream.NewDecoder(conn, bufferSize, maxQuerySize)
			for {
				var q query
				if decoder.Decode(&q) != nil {
					return
				}
				a := &answer{Number: q.Number, Revision: 3, Rows: []row{{Key: "c", Revision: 3}}}
				if q.Since < 0 {
					a.Rows = append(a.Rows, row{Key: "a", Revision: 1}, row{Key: "b", Revision: 2})
				}
				for range 2 {
					if msgstream.Encode(conn, a) != nil {
						return
					}
				}
			}
		}()
		c := client{table: "t", answerTimeout: time.Second}
		defer c.close()
		for range 3 {
			changes, err := c.fetch(context.Background(), (&instance{ln: ln}).address(), at(2), 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes.Rows).To(HaveLen(1))
			all, err := c.fetch(context.Background(), (&instance{ln: ln}).address(), at(-1), 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(all.Rows).To(HaveLen(3))
		}
	})

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
		_, err := c.fetch(context.Background(), answering(bomb).address(), at(-1), 0)
		runtime.ReadMemStats(&after)
		Expect(err).To(MatchError(errTableTooLarge))
		// Decompression allocates a few times what it returns.
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 8*maxTableSize))
	})
})
