// Package convert converts between the messages of the operator API and the types of
// lib/config.
package convert

import (
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// ConfigToMessage converts a configuration to its message.
func ConfigToMessage(c *config.Config) *pb.Config {
	m := &pb.Config{Deployment: &pb.Deployment{
		TimeWeight:     c.Deployment.TimeWeight,
		OriginCopies:   int32(c.Deployment.OriginCopies),
		TransferShare:  c.Deployment.TransferShare,
		ClaimRetention: durationpb.New(c.Deployment.ClaimRetention),
	}}
	for _, v := range c.Models {
		m.Models = append(m.Models, &pb.Model{
			Name: v.Name, Version: v.Version, Manifest: v.Manifest.String(), ManifestObject: v.ManifestObject,
			Base: v.Base, BaseVersion: v.BaseVersion, Bytes: v.Bytes,
		})
	}
	for _, v := range c.Placements {
		m.Placements = append(m.Placements, &pb.Placement{
			Model: v.Model, Version: v.Version, FailureDomain: string(v.FailureDomain), Pool: v.Pool,
			Replicas: int32(v.Replicas), MinLive: int32(v.MinLive), Role: v.Role.String(),
		})
	}
	for _, v := range c.Services {
		m.Services = append(m.Services, &pb.Service{
			Name: string(v.Name), Kind: string(v.Kind), Model: v.Model, Version: v.Version, Pool: v.Pool,
			Repeatable: v.Repeatable, Timeout: durationpb.New(v.Timeout), MaxBodyBytes: v.MaxBodyBytes,
		})
	}
	for _, v := range c.Tenants {
		m.Tenants = append(m.Tenants, &pb.Tenant{
			Name: string(v.Name), Share: int32(v.Share), MaxQueued: int32(v.MaxQueued), RetryShare: v.RetryShare,
		})
	}
	for _, v := range c.Classes {
		m.Classes = append(m.Classes, &pb.Class{
			Name: string(v.Name), Priority: int32(v.Priority), FirstToken: durationpb.New(v.FirstToken),
		})
	}
	return m
}

// ConfigFromMessage converts a message to a configuration. It returns a violation for
// each invalid manifest digest and does not validate anything else: see
// config.Config.Validate.
func ConfigFromMessage(m *pb.Config) (*config.Config, []config.Violation) {
	d := m.GetDeployment()
	c := &config.Config{Deployment: config.Deployment{
		TimeWeight:     d.GetTimeWeight(),
		OriginCopies:   int(d.GetOriginCopies()),
		TransferShare:  d.GetTransferShare(),
		ClaimRetention: d.GetClaimRetention().AsDuration(),
	}}
	var violations []config.Violation
	for _, v := range m.GetModels() {
		digest, err := model.ParseDigest(v.GetManifest())
		if err != nil {
			violations = append(violations, config.Violation{
				Path:  "model " + v.GetName() + " " + v.GetVersion() + ": manifest",
				Value: v.GetManifest(), Allowed: "the digest of a manifest, 64 hexadecimal digits",
			})
		}
		c.Models = append(c.Models, config.Model{
			Name: v.GetName(), Version: v.GetVersion(), Manifest: digest, ManifestObject: v.GetManifestObject(),
			Base: v.GetBase(), BaseVersion: v.GetBaseVersion(), Bytes: v.GetBytes(),
		})
	}
	for _, v := range m.GetPlacements() {
		c.Placements = append(c.Placements, config.Placement{
			Model: v.GetModel(), Version: v.GetVersion(), FailureDomain: model.FailureDomain(v.GetFailureDomain()),
			Pool: v.GetPool(), Replicas: int(v.GetReplicas()), MinLive: int(v.GetMinLive()), Role: model.ParseRole(v.GetRole()),
		})
	}
	for _, v := range m.GetServices() {
		c.Services = append(c.Services, config.Service{
			Name: model.Service(v.GetName()), Kind: config.ServiceKind(v.GetKind()), Model: v.GetModel(), Version: v.GetVersion(),
			Pool: v.GetPool(), Repeatable: v.GetRepeatable(), Timeout: v.GetTimeout().AsDuration(), MaxBodyBytes: v.GetMaxBodyBytes(),
		})
	}
	for _, v := range m.GetTenants() {
		c.Tenants = append(c.Tenants, config.Tenant{
			Name: model.Tenant(v.GetName()), Share: int(v.GetShare()), MaxQueued: int(v.GetMaxQueued()), RetryShare: v.GetRetryShare(),
		})
	}
	for _, v := range m.GetClasses() {
		c.Classes = append(c.Classes, config.Class{
			Name: model.Class(v.GetName()), Priority: int(v.GetPriority()), FirstToken: v.GetFirstToken().AsDuration(),
		})
	}
	return c, violations
}
