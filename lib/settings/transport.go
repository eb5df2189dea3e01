package settings

// TransportKind is the transport between entries and agents.
type TransportKind string

const (
	// TransportTLS is TLS with certificates on both ends.
	TransportTLS TransportKind = "tls"
	// TransportPlaintext is unencrypted and meant for trials only. It is never the
	// default.
	TransportPlaintext TransportKind = "plaintext"
)

// Transport holds the transport security of connections between entries and agents
// and of operators' calls.
type Transport struct {
	Kind TransportKind
	// Certificate, Key and CA are the paths of PEM files.
	Certificate string
	Key         string
	CA          string
	// EntryNames, AgentNames and OperatorNames are the certificate names that are
	// authorized for each role.
	EntryNames    []string
	AgentNames    []string
	OperatorNames []string
}

func (r *reader) transport() Transport {
	const section = "transport"
	t := Transport{
		Kind:          TransportKind(r.enum(section, "transport", string(TransportTLS), string(TransportTLS), string(TransportPlaintext))),
		Certificate:   r.text(section, "certificate", ""),
		Key:           r.text(section, "key", ""),
		CA:            r.text(section, "ca", ""),
		EntryNames:    r.names(section, "entry_names"),
		AgentNames:    r.names(section, "agent_names"),
		OperatorNames: r.names(section, "operator_names"),
	}
	for _, key := range []string{"certificate", "key", "ca", "entry_names", "agent_names", "operator_names"} {
		given := r.value(section, key) != ""
		switch {
		case t.Kind == TransportPlaintext && given:
			r.addViolation(section, key, "key conflicts with transport = plaintext", "no certificates or names with plaintext, or transport = tls")
		case t.Kind == TransportTLS && !given && key != "operator_names":
			r.addViolation(section, key, "required key is missing or empty", "a value when transport = tls; transport = plaintext is for trials")
		}
	}
	return t
}
