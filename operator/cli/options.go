package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/auburnbend/auburnbend/operator"
)

// defaultAddress is the address of the operators' interface of an entry on this machine.
const defaultAddress = "127.0.0.1:7300"

// options are the flags of all commands that call an entry.
type options struct {
	addresses  []string
	plaintext  bool
	ca         string
	cert       string
	key        string
	serverName string
	author     string
	timeout    time.Duration
	output     string
}

func (o *options) addFlags(flags *pflag.FlagSet) {
	flags.StringSliceVar(&o.addresses, "address", []string{defaultAddress}, "address of an entry; may be repeated")
	flags.BoolVar(&o.plaintext, "plaintext", false, "connect without TLS")
	flags.StringVar(&o.ca, "ca", "", "file with the CA certificates for the certificates of entries")
	flags.StringVar(&o.cert, "cert", "", "file with the operator's certificate")
	flags.StringVar(&o.key, "key", "", "file with the private key of the operator's certificate")
	flags.StringVar(&o.serverName, "server-name", "", "name that the entry's certificate must be valid for; defaults to the host of the address")
	flags.StringVar(&o.author, "author", os.Getenv("USER"), "name of the operator in the history, used if the connection has no certificate")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "time limit of one attempt at one entry")
	flags.StringVarP(&o.output, "output", "o", "table", "output format: table or json")
}

// newClient validates the flags and returns a client, which is not connected yet.
func (o *options) newClient() (*operator.Client, error) {
	if o.output != "table" && o.output != "json" {
		return nil, usagef("invalid --output %q: must be table or json", o.output)
	}
	cfg := operator.Config{Addresses: o.addresses, Plaintext: o.plaintext, Timeout: o.timeout, Author: o.author}
	if !o.plaintext {
		tlsConfig, err := o.tlsConfig()
		if err != nil {
			return nil, err
		}
		cfg.TLS = tlsConfig
	} else if o.ca != "" || o.cert != "" || o.key != "" {
		return nil, usagef("--plaintext cannot be combined with --ca, --cert or --key")
	}
	return operator.New(cfg)
}

func (o *options) tlsConfig() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: o.serverName}
	if o.ca != "" {
		pem, err := os.ReadFile(o.ca)
		if err != nil {
			return nil, usagef("--ca: %v", err)
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usagef("--ca: no certificate found in %s", o.ca)
		}
	}
	if (o.cert == "") != (o.key == "") {
		return nil, usagef("--cert and --key must be used together")
	}
	if o.cert != "" {
		pair, err := tls.LoadX509KeyPair(o.cert, o.key)
		if err != nil {
			return nil, usagef("--cert and --key: %v", err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg, nil
}

// run calls f with a client and a printer for the command.
func (o *options) run(cmd *cobra.Command, f func(*operator.Client, *printer) error) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	return merry.Wrap(f(client, &printer{out: cmd.OutOrStdout(), json: o.output == "json"}))
}
