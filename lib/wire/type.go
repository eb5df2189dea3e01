package wire

// Type is the type of the message in a frame.
type Type uint8

// Message types. The numbers are part of the protocol and are never reused.
const (
	TypeHello            Type = 1
	TypeHeartbeat        Type = 2
	TypeRequestStart     Type = 3
	TypeRequestRefused   Type = 4
	TypeResponseFrame    Type = 5
	TypeResponseEnd      Type = 6
	TypeRequestCancel    Type = 7
	TypeReattach         Type = 8
	TypeCrashReport      Type = 9
	TypeSuspectUpdate    Type = 10
	TypeConfigFetch      Type = 11
	TypeConfigDelta      Type = 12
	TypeAnnounce         Type = 13
	TypeAssign           Type = 14
	TypeManifestFetch    Type = 15
	TypeManifestData     Type = 16
	TypeChunkFetch       Type = 17
	TypeChunkData        Type = 18
	TypeChunkRefused     Type = 19
	TypeTransferStatus   Type = 20
	TypeResponseAck      Type = 21
	TypeEntryList        Type = 22
	TypeLoadPermitFetch  Type = 23
	TypeLoadPermit       Type = 24
	TypeManifestRefused  Type = 25
	TypeRolloutFetch     Type = 26
	TypeRolloutReport    Type = 27
	TypeConnectionReject Type = 28
	TypeHolderSummary    Type = 29
	TypeCacheUpdate      Type = 30
	TypeCacheFetch       Type = 31
)
