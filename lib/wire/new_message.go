package wire

// newMessage returns an empty message of type t, or nil if the type is unknown.
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
