package refusal

var remedies = map[Reason]string{
	NoConfiguration:   "publish a configuration or restore the link to a peer or the platform",
	FloorUnknown:      "wait until a peer or the platform answers",
	Resyncing:         "retry later",
	NoRoute:           "publish a route that matches the path and method",
	NoEndpoint:        "start a backend server of the service",
	Leaving:           "retry on another host",
	QueueFull:         "retry later or raise queue_ms",
	QueueDeadline:     "retry later or raise queue_ms",
	DeadlinePassed:    "allow more time or raise timeout_ms",
	RateLimited:       "send fewer calls or raise calls_per_s",
	BodyTooLarge:      "send a smaller body or raise body_bytes",
	BadRequest:        "correct the request",
	DepthExceeded:     "look for a loop between services",
	ConnectFailed:     "check that the host and its backend server are running",
	BackendShed:       "retry later or add backend servers",
	BackendBroken:     "check the backend server's log",
	HopBroken:         "check the network between the hosts",
	RetryBudgetSpent:  "look for the cause of the failures or raise budget_percent",
	InProgress:        "wait for the first call with this key to end",
	RecordUnavailable: "check what the earlier call did before sending a new key",
	WrongIdentity:     "check the certificate's URI name",
	TooManyLinks:      "dial another peer",
	Busy:              "retry after the given time",
	CallerGone:        "none is needed",
	LinkBusy:          "retry later or give the host a faster link",
	ServerLimited:     "retry later or add backend servers",
	ServerCold:        "retry later or add backend servers",
	Evacuated:         "retry on another host or end the evacuation",
	MemoryFull:        "retry later or give the host more memory",
}

// Remedy returns what the caller or operator can do about the refusal.
func (i Reason) Remedy() string {
	if remedy, ok := remedies[i]; ok {
		return remedy
	}
	return "see the daemon's log"
}
