// Command auburnbend-entry is the daemon that runs on entry instances.
package main

import (
	"github.com/auburnbend/auburnbend/entry"
	"github.com/auburnbend/auburnbend/lib/daemon"
)

func main() { daemon.Main(entry.Program()) }
