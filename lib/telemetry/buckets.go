package telemetry

// requestBuckets are the bucket bounds, in seconds, of request latencies. They are
// dense around the targets: 53 ms between tokens and 1.4 s to the first token.
var requestBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.053, 0.075, 0.1, 0.2, 0.35, 0.5, 0.75,
	1, 1.4, 2, 3, 5, 10, 20, 30, 60, 120, 300,
}

// transferBuckets are the bucket bounds, in seconds, of weight transfers.
var transferBuckets = []float64{1, 2, 5, 10, 20, 30, 60, 120, 180, 300, 450, 600, 900, 1800, 3600}
