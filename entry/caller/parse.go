package caller

import (
	"fmt"
	"strconv"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

const (
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = 10 * time.Minute
	// maxIDLength is the maximum length of request IDs and idempotency keys in
	// bytes.
	maxIDLength = 128
	// maxProofLength is the maximum length of the claim proof header in bytes.
	maxProofLength = 1024
	// maxContentTypeLength is the maximum length of the content type in bytes. Agents
	// limit the fields of a request that precede its body.
	maxContentTypeLength = 1024
	// maxBodyBytes is the maximum size of a body, so that it fits into one frame
	// to an agent.
	maxBodyBytes = 4 << 20
	// defaultTimeout applies if neither the caller nor the service specifies one.
	defaultTimeout = time.Minute
)

// rawRequest holds the unvalidated parts of a caller's request.
type rawRequest struct {
	service        string
	requestID      string
	tenant         string
	class          string
	deadlineMillis string
	idempotencyKey string
	claimProof     string
	contentType    string
	// bodyLength is the announced length of the body, or unknownLength.
	bodyLength int64
}

// refusal describes why a request is invalid.
type refusal struct {
	reason outcome.Reason
	detail string
}

func refuse(reason outcome.Reason, format string, args ...any) *refusal {
	return &refusal{reason: reason, detail: fmt.Sprintf(format, args...)}
}

// parse validates a request against the configuration in force.
func parse(raw rawRequest, cfg *config.Config, now time.Time) (*Request, *refusal) {
	service, ok := cfg.FindService(model.Service(raw.service))
	if !ok {
		return nil, refuse(outcome.ReasonUnknownService, "service %q is not declared", raw.service)
	}
	tenant, ok := cfg.FindTenant(model.Tenant(raw.tenant))
	if !ok {
		return nil, refuse(outcome.ReasonUnknownTenant, "header %s: tenant %q is not declared", HeaderTenant, raw.tenant)
	}
	class, refused := parseClass(raw.class, cfg)
	if refused != nil {
		return nil, refused
	}
	timeout, refused := parseDeadline(raw.deadlineMillis, service)
	if refused != nil {
		return nil, refused
	}
	if refused := checkLengths(raw); refused != nil {
		return nil, refused
	}
	if raw.bodyLength > bodyLimit(service) {
		return nil, tooLarge(service, strconv.FormatInt(raw.bodyLength, 10))
	}
	return &Request{
		ID:             model.RequestID(raw.requestID),
		Tenant:         tenant,
		Class:          class,
		Service:        service,
		Received:       now,
		Deadline:       now.Add(timeout),
		IdempotencyKey: raw.idempotencyKey,
		ClaimProof:     raw.claimProof,
		ContentType:    raw.contentType,
	}, nil
}

// tooLarge refuses a body of a number of bytes, which is "more" if it is not known.
func tooLarge(service config.Service, bytes string) *refusal {
	return refuse(outcome.ReasonTooLarge, "body has %s bytes, service %q allows %d", bytes, service.Name, bodyLimit(service))
}

func checkLengths(raw rawRequest) *refusal {
	for _, header := range []struct{ name, value string }{
		{HeaderRequestID, raw.requestID},
		{HeaderIdempotencyKey, raw.idempotencyKey},
	} {
		if len(header.value) > maxIDLength {
			return refuse(outcome.ReasonInvalid, "header %s has %d bytes, allowed are %d", header.name, len(header.value), maxIDLength)
		}
	}
	if len(raw.contentType) > maxContentTypeLength {
		return refuse(outcome.ReasonInvalid, "header Content-Type has %d bytes, allowed are %d", len(raw.contentType), maxContentTypeLength)
	}
	if len(raw.claimProof) > maxProofLength {
		return refuse(outcome.ReasonInvalid, "header %s has %d bytes, allowed are %d", HeaderClaimProof, len(raw.claimProof), maxProofLength)
	}
	return nil
}

func bodyLimit(service config.Service) int64 {
	if service.MaxBodyBytes > 0 && service.MaxBodyBytes < maxBodyBytes {
		return service.MaxBodyBytes
	}
	return maxBodyBytes
}

// parseClass returns the class with the given name, or the first declared class
// if the name is empty.
func parseClass(name string, cfg *config.Config) (config.Class, *refusal) {
	if name == "" {
		if len(cfg.Classes) == 0 {
			return config.Class{Name: "default"}, nil
		}
		return cfg.Classes[0], nil
	}
	class, ok := cfg.FindClass(model.Class(name))
	if !ok {
		return config.Class{}, refuse(outcome.ReasonInvalid, "header %s: class %q is not declared", HeaderClass, name)
	}
	return class, nil
}

func parseDeadline(value string, service config.Service) (time.Duration, *refusal) {
	if value == "" {
		if service.Timeout > 0 {
			return service.Timeout, nil
		}
		return defaultTimeout, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
		return 0, refuse(outcome.ReasonInvalid, "header %s: %q is not a number of milliseconds from 1 to %d", HeaderDeadlineMillis, value, maxDeadline.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}
