package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// pipelineDepth is the number of requests that a pipelining client sends at once.
const pipelineDepth = 3

// pipelineTimeouts are the timeouts of pipelined requests. Late in a stop a daemon admits
// those with short ones and refuses the others.
var pipelineTimeouts = []time.Duration{time.Second, 2 * time.Second, longTimeout}

// pipeliningClient sends long requests in pipelines on one connection until the context
// ends.
func (w *world) pipeliningClient(ctx context.Context, h *host) {
	client := platformtest.NewClient(w.address(h.localIP, portCaller))
	defer client.Close()
	for i := 0; ctx.Err() == nil; i++ {
		w.sendPipeline(h, client, fmt.Sprintf("%s.pipe-%d", h.name, i))
		sleep(ctx, longPause)
	}
}

// sendPipeline sends one pipeline, whose requests have IDs that begin with the given one,
// and records how they end.
func (w *world) sendPipeline(h *host, client *platformtest.Client, id string) {
	requests := make([]platformtest.PipelinedRequest, pipelineDepth)
	for i := range requests {
		one := fmt.Sprint(id, "-", i)
		timeout := pipelineTimeouts[hashID(one+"timeout")%uint32(len(pipelineTimeouts))]
		requests[i] = platformtest.PipelinedRequest{Method: http.MethodGet, Target: browsePrefix + "x", ID: one, Timeout: timeout}
	}
	// A client that has sent requests waits for the responses also when the run ends.
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout+responseSlack)
	defer cancel()
	began, stoppedBefore := time.Now(), h.stoppingSince()
	client.Pipeline(ctx, requests, func(i int, reply platformtest.Response, err error) {
		one := call{id: requests[i].ID, target: requests[i].Target, idempotent: true, timeout: requests[i].Timeout, began: began, behind: i > 0}
		w.finish(h, &one, &reply, err, stoppedBefore)
		w.recorder.recordCall(one)
	})
}
