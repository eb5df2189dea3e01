package convert

import (
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// HeadToMessage converts the number and digest of a revision to a message.
func HeadToMessage(h config.Head) *pb.Revision {
	return &pb.Revision{Number: h.Number, Digest: h.Digest.String()}
}

// HeadFromMessage converts a message to the number and digest of a revision. An
// invalid digest becomes zero.
func HeadFromMessage(m *pb.Revision) config.Head {
	digest, _ := model.ParseDigest(m.GetDigest())
	return config.Head{Number: m.GetNumber(), Digest: digest}
}

// DifferencesToMessage converts differences to messages.
func DifferencesToMessage(list []config.Difference) []*pb.Difference {
	messages := make([]*pb.Difference, 0, len(list))
	for _, d := range list {
		messages = append(messages, &pb.Difference{Object: d.Object, Key: d.Key, Old: d.Old, New: d.New})
	}
	return messages
}

// DifferencesFromMessage converts messages to differences.
func DifferencesFromMessage(messages []*pb.Difference) []config.Difference {
	list := make([]config.Difference, 0, len(messages))
	for _, m := range messages {
		list = append(list, config.Difference{Object: m.GetObject(), Key: m.GetKey(), Old: m.GetOld(), New: m.GetNew()})
	}
	return list
}
