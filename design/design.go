// Package design defines the daemon's HTTP interface for operators in the goa
// DSL. The code in gen/ is generated from it and committed.
//
// # Usage
//
// From the root of the repository:
//
//	goa gen marjoramsaddle/design
package design

import . "goa.design/goa/v3/dsl" //nolint:staticcheck // The goa language is written with a dot import.

var _ = API("marjoramsaddle", func() {
	Title("Operators' interface of the marjoramsaddle daemon")
	Description("Shows what the fleet and one proxy run, and drains one daemon.")
	Version("1")
	Server("marjoramsaddled", func() {
		Host("loopback", func() { URI("http://127.0.0.1:7070") })
	})
})

var _ = Service("operator", func() {
	Description("What operators ask of one daemon.")
	HTTP(func() { Path("/v1") })

	Error("unavailable", FaultType, "The daemon cannot answer now.")

	Method("status", func() {
		Description("Asks the fleet through the control links which versions are in force.")
		Result(StatusType)
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("view", func() {
		Description("Shows what a proxy runs and which configuration each field comes from.")
		Payload(func() {
			Attribute("host", String, "The proxy; this daemon's own when empty.", func() { MaxLength(253) })
		})
		Result(ViewType)
		Error("not_found", FaultType, "The proxy is not known.")
		Error("bad_request", FaultType, "The query is wrong.")
		HTTP(func() {
			GET("/view")
			Param("host")
			Response(StatusOK)
			Response("unavailable", StatusServiceUnavailable)
			Response("not_found", StatusNotFound)
			Response("bad_request", StatusBadRequest)
		})
	})

	Method("drain", func() {
		Description("Starts the graceful shutdown of this daemon.")
		Result(DrainedType)
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("trace", func() {
		Description("Returns the recent kernel events as JSON lines.")
		Result(func() {
			Attribute("content_type", String)
			Required("content_type")
		})
		HTTP(func() {
			GET("/trace")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content_type:Content-Type") })
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("health", func() {
		Description("Tells whether this daemon serves calls.")
		Result(HealthType)
		HTTP(func() {
			GET("/health")
			Response(StatusOK)
			Response("unavailable", StatusServiceUnavailable)
		})
	})
})
