package convert

import (
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// HeadToMessage returns the message of a revision's number and digest.
func HeadToMessage(h config.Head) *pb.Revision {
	return &pb.Revision{Number: h.Number, Digest: h.Digest.String()}
}

// HeadFromMessage returns the number and digest of a message; a digest that
// does not parse is left zero.
func HeadFromMessage(m *pb.Revision) config.Head {
	digest, _ := model.ParseDigest(m.GetDigest())
	return config.Head{Number: m.GetNumber(), Digest: digest}
}

// DifferencesToMessage returns the messages of differences.
func DifferencesToMessage(list []config.Difference) []*pb.Difference {
	messages := make([]*pb.Difference, 0, len(list))
	for _, d := range list {
		messages = append(messages, &pb.Difference{Object: d.Object, Key: d.Key, Old: d.Old, New: d.New})
	}
	return messages
}

// DifferencesFromMessage returns the differences of messages.
func DifferencesFromMessage(messages []*pb.Difference) []config.Difference {
	list := make([]config.Difference, 0, len(messages))
	for _, m := range messages {
		list = append(list, config.Difference{Object: m.GetObject(), Key: m.GetKey(), Old: m.GetOld(), New: m.GetNew()})
	}
	return list
}
