package processes_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/standin/pki"
)

// memoryLimit is the memory limit of each daemon: the smallest that is allowed.
const memoryLimit = 128 * settings.MiB

// descriptorLimit is the limit of open descriptors of each daemon.
const descriptorLimit = 600

// settingsFile writes the settings file of a daemon and returns its path. The backend
// address is empty for entries.
func (f *fleet) settingsFile(d *daemon, backend string) string {
	var b strings.Builder
	section := func(name string, lines ...string) {
		b.WriteString("[" + name + "]\n" + strings.Join(lines, "\n") + "\n")
	}
	section("instance", "id = "+string(d.instance.ID), "region = "+string(d.instance.Location.Region),
		"failure_domain = "+string(d.instance.Location.FailureDomain))
	listen := []string{"peers = " + d.instance.Address, "metrics = " + d.metrics}
	if d.callers != "" {
		listen = append(listen, "callers = "+d.callers, "operators = "+d.operators)
	}
	section("listen", listen...)
	section("platform", "table_service = "+f.platform.url+"/table", "object_store = "+f.platform.url+"/object",
		"instance_list = "+f.platform.url+"/instance-list", "origin = "+f.platform.url+"/origin")
	if d.pool != "" {
		kind := "engine"
		if d.pool == orderPool {
			kind = "plain"
		}
		section("backend", "pool = "+d.pool, "kind = "+kind, "address = http://"+backend)
	}
	if d.pool == draftPool {
		staging := filepath.Join(f.dir, string(d.instance.ID))
		Expect(os.Mkdir(staging, 0o750)).To(Succeed())
		section("transfer", "staging = "+staging, "staging_bytes = 64MiB", "link_rate = 200Mbit/s")
	}
	section("transport", f.transport(d.instance.Role)...)
	section("drain", "timeout = 20s")
	section("memory", "limit = "+memoryLimit.String())
	path := filepath.Join(f.dir, string(d.instance.ID)+".ini")
	Expect(os.WriteFile(path, []byte(b.String()), 0o600)).To(Succeed())
	return path
}

func (f *fleet) transport(role backing.InstanceRole) []string {
	if f.authority == nil {
		return []string{"transport = plaintext"}
	}
	files := f.certificate(string(role) + ".test")
	return []string{
		"transport = tls", "certificate = " + files.Certificate, "key = " + files.Key, "ca = " + files.CA,
		"entry_names = entry.test", "agent_names = agent.test", "operator_names = " + operatorName,
	}
}

// certificate returns the certificate files of a name. They are written only once,
// because a daemon may be reading them.
func (f *fleet) certificate(name string) pki.Files {
	files, ok := f.certificates[name]
	if !ok {
		var err error
		files, err = f.authority.WriteFiles(f.dir, name)
		Expect(err).NotTo(HaveOccurred())
		f.certificates[name] = files
	}
	return files
}

// declaration writes a declaration file that lists all published versions, places
// one of them in all failure domains and sets the tenant's share. It returns the path.
func (f *fleet) declaration(placed string, share int) string {
	var b strings.Builder
	b.WriteString("[deployment]\ntime_weight = 1\norigin_copies = 3\n")
	for _, v := range f.versions {
		fmt.Fprintf(&b, "[model crest %s]\n%smanifest_object = %s\n", v.name, v.declarationLines, v.manifestObject())
	}
	for _, domain := range f.domains {
		fmt.Fprintf(&b, "[placement %s %s]\nmodel = crest\nversion = %s\n", draftPool, domain, placed)
	}
	fmt.Fprintf(&b, "[service drafts]\nkind = model\nmodel = crest\npool = %s\nrepeatable = true\n", draftPool)
	fmt.Fprintf(&b, "[service orders]\nkind = plain\npool = %s\nmax_body = 4MiB\n", orderPool)
	fmt.Fprintf(&b, "[tenant engravers]\nshare = %d\n[class interactive]\npriority = 2\n", share)
	path := filepath.Join(f.dir, fmt.Sprintf("deployment-%s-%d.ini", placed, share))
	Expect(os.WriteFile(path, []byte(b.String()), 0o600)).To(Succeed())
	return path
}
