package wire

// newMessage returns an empty message of a type, or nil for an unknown type.
func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeRequestStart:
		return new(RequestStart)
	case TypeRequestRefused:
		return new(RequestRefused)
	case TypeResponseFrame:
		return new(ResponseFrame)
	case TypeResponseEnd:
		return new(ResponseEnd)
	case TypeRequestCancel:
		return new(RequestCancel)
	case TypeReattach:
		return new(Reattach)
	case TypeCrashReport:
		return new(CrashReport)
	case TypeSuspectUpdate:
		return new(SuspectUpdate)
	case TypeConfigFetch:
		return new(ConfigFetch)
	case TypeConfigDelta:
		return new(ConfigDelta)
	case TypeAnnounce:
		return new(Announce)
	case TypeAssign:
		return new(Assign)
	case TypeManifestFetch:
		return new(ManifestFetch)
	case TypeManifestData:
		return new(ManifestData)
	case TypeChunkFetch:
		return new(ChunkFetch)
	case TypeChunkData:
		return new(ChunkData)
	case TypeChunkRefused:
		return new(ChunkRefused)
	case TypeTransferStatus:
		return new(TransferStatus)
	case TypeResponseAck:
		return new(ResponseAck)
	case TypeEntryList:
		return new(EntryList)
	case TypeLoadPermitFetch:
		return new(LoadPermitFetch)
	case TypeLoadPermit:
		return new(LoadPermit)
	case TypeManifestRefused:
		return new(ManifestRefused)
	case TypeRolloutFetch:
		return new(RolloutFetch)
	case TypeRolloutReport:
		return new(RolloutReport)
	case TypeConnectionReject:
		return new(ConnectionReject)
	case TypeHolderSummary:
		return new(HolderSummary)
	case TypeCacheUpdate:
		return new(CacheUpdate)
	case TypeCacheFetch:
		return new(CacheFetch)
	default:
		return nil
	}
}

// Type returns TypeHello.
func (*Hello) Type() Type { return TypeHello }

// Type returns TypeHeartbeat.
func (*Heartbeat) Type() Type { return TypeHeartbeat }

// Type returns TypeRequestStart.
func (*RequestStart) Type() Type { return TypeRequestStart }

// Type returns TypeRequestRefused.
func (*RequestRefused) Type() Type { return TypeRequestRefused }

// Type returns TypeResponseFrame.
func (*ResponseFrame) Type() Type { return TypeResponseFrame }

// Type returns TypeResponseEnd.
func (*ResponseEnd) Type() Type { return TypeResponseEnd }

// Type returns TypeRequestCancel.
func (*RequestCancel) Type() Type { return TypeRequestCancel }

// Type returns TypeReattach.
func (*Reattach) Type() Type { return TypeReattach }

// Type returns TypeCrashReport.
func (*CrashReport) Type() Type { return TypeCrashReport }

// Type returns TypeSuspectUpdate.
func (*SuspectUpdate) Type() Type { return TypeSuspectUpdate }

// Type returns TypeConfigFetch.
func (*ConfigFetch) Type() Type { return TypeConfigFetch }

// Type returns TypeConfigDelta.
func (*ConfigDelta) Type() Type { return TypeConfigDelta }

// Type returns TypeAnnounce.
func (*Announce) Type() Type { return TypeAnnounce }

// Type returns TypeAssign.
func (*Assign) Type() Type { return TypeAssign }

// Type returns TypeManifestFetch.
func (*ManifestFetch) Type() Type { return TypeManifestFetch }

// Type returns TypeManifestData.
func (*ManifestData) Type() Type { return TypeManifestData }

// Type returns TypeChunkFetch.
func (*ChunkFetch) Type() Type { return TypeChunkFetch }

// Type returns TypeChunkData.
func (*ChunkData) Type() Type { return TypeChunkData }

// Type returns TypeChunkRefused.
func (*ChunkRefused) Type() Type { return TypeChunkRefused }

// Type returns TypeTransferStatus.
func (*TransferStatus) Type() Type { return TypeTransferStatus }

// Type returns TypeResponseAck.
func (*ResponseAck) Type() Type { return TypeResponseAck }

// Type returns TypeEntryList.
func (*EntryList) Type() Type { return TypeEntryList }

// Type returns TypeLoadPermitFetch.
func (*LoadPermitFetch) Type() Type { return TypeLoadPermitFetch }

// Type returns TypeLoadPermit.
func (*LoadPermit) Type() Type { return TypeLoadPermit }

// Type returns TypeManifestRefused.
func (*ManifestRefused) Type() Type { return TypeManifestRefused }

// Type returns TypeRolloutFetch.
func (*RolloutFetch) Type() Type { return TypeRolloutFetch }

// Type returns TypeRolloutReport.
func (*RolloutReport) Type() Type { return TypeRolloutReport }

// Type returns TypeConnectionReject.
func (*ConnectionReject) Type() Type { return TypeConnectionReject }

// Type returns TypeHolderSummary.
func (*HolderSummary) Type() Type { return TypeHolderSummary }
