package design

import . "goa.design/goa/v3/dsl" //nolint:staticcheck // The goa language is written with a dot import.

// FaultType is the body of every error response.
var FaultType = Type("Fault", func() {
	Description("An error with its remedy.")
	ErrorName("name", String, "The kind of error.")
	Attribute("problem", String, "What is wrong.")
	Attribute("remedy", String, "What the operator can do about it.")
	Attribute("reason", String, "The refusal reason, where there is one.")
	Required("name", "problem", "remedy")
})

// HostVersionType is the version that one host has in force.
var HostVersionType = Type("HostVersion", func() {
	Attribute("host", String)
	Attribute("version", UInt64, "The version in force; zero for none.")
	Required("host", "version")
})

// RefusedVersionType is a version that hosts of a failure domain refused, with
// the reason.
var RefusedVersionType = Type("RefusedVersion", func() {
	Attribute("version", UInt64)
	Attribute("reason", String)
	Required("version", "reason")
})

// VersionCountType is the number of hosts that have a version in force.
var VersionCountType = Type("VersionCount", func() {
	Attribute("version", UInt64)
	Attribute("hosts", Int)
	Required("version", "hosts")
})

// DomainStatusType is the state of one failure domain, as far as its hosts
// responded.
var DomainStatusType = Type("DomainStatus", func() {
	Attribute("failure_domain", String)
	Attribute("versions", ArrayOf(VersionCountType), "Versions in force, the newest first.")
	Attribute("behind", ArrayOf(HostVersionType), "Hosts whose version in force is below the newest.")
	Attribute("unanswered", ArrayOf(String), "Hosts that did not answer before the deadline.")
	Attribute("refused", ArrayOf(RefusedVersionType), "Refused versions with their reasons.")
	Required("failure_domain", "versions", "behind", "unanswered", "refused")
})

// StatusType is a daemon's own state and the state of the fleet by failure
// domain.
var StatusType = Type("FleetStatus", func() {
	Attribute("host", String, "The daemon that answers.")
	Attribute("held", UInt64, "The newest whole version in this daemon's memory.")
	Attribute("in_force", UInt64, "The version that this daemon's traffic uses.")
	Attribute("readiness", String, "Whether this daemon serves calls, or why not.")
	Attribute("age_ms", Int64, "The age of the oldest answer in the status, in milliseconds.")
	Attribute("ignored_index", UInt64, "The newest platform index ignored for being below the highest known; absent for none.")
	Attribute("domains", ArrayOf(DomainStatusType))
	Required("host", "held", "in_force", "readiness", "age_ms", "domains")
})

// RouteType is one route, with the name of the configuration that defines it.
var RouteType = Type("Route", func() {
	Attribute("name", String)
	Attribute("path_prefix", String)
	Attribute("methods", ArrayOf(String), "The methods that match; all when empty.")
	Attribute("service", String)
	Attribute("timeout_ms", Int)
	Attribute("idempotent", Boolean)
	Attribute("class", String)
	Attribute("origin", String, "The configuration that the route comes from.")
	Required("name", "path_prefix", "methods", "service", "timeout_ms", "idempotent", "class", "origin")
})

// PolicyType holds the limits and retry settings that a proxy applies to the
// calls of one service.
var PolicyType = Type("Policy", func() {
	Attribute("service", String)
	Attribute("slots", Int)
	Attribute("connections", Int)
	Attribute("cold_start_ms", Int)
	Attribute("calls_per_s", Int, "Zero means no limit.")
	Attribute("body_bytes", Int64)
	Attribute("queue_ms", Int)
	Attribute("attempts", Int)
	Attribute("budget_percent", Int)
	Attribute("origins", MapOf(String, String), "The configuration that sets each field; a field that is absent has its default.")
	Required("service", "slots", "connections", "cold_start_ms", "calls_per_s", "body_bytes",
		"queue_ms", "attempts", "budget_percent", "origins")
})

// ViewType is the configuration of one proxy, with its routes and policies.
var ViewType = Type("ProxyView", func() {
	Attribute("host", String)
	Attribute("version", UInt64)
	Attribute("digest", String, "The SHA-256 content hash of the version.")
	Attribute("labels", MapOf(String, String))
	Attribute("routes", ArrayOf(RouteType), "In the order of precedence.")
	Attribute("policies", ArrayOf(PolicyType), "In the order of service names.")
	Required("host", "version", "digest", "labels", "routes", "policies")
})

// DrainedType is the daemon's readiness after a drain request.
var DrainedType = Type("Drained", func() {
	Attribute("readiness", String)
	Required("readiness")
})

// HealthType reports whether the daemon serves calls, or why not.
var HealthType = Type("HealthReport", func() {
	Attribute("ready", Boolean)
	Attribute("readiness", String)
	Required("ready", "readiness")
})
