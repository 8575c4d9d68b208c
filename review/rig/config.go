package main

// Names of the configurations that the cases submit.
const (
	host      = "court.example"
	filePath  = "/file/"
	lookPath  = "/look/"
	openPath  = "/open/"
	desk      = "desk"
	annex     = "annex"
	callerKey = "n2ctnfzs989anu6wsjnb"
	otherKey  = "anfqasnmgkcuyj8pjbvk"
)

// table is a configuration of the operator, in the form of the platform.
type table struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Backends []backend `json:"backends"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	PathPrefix      string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeout_ms"`
	TargetLatencyMs int    `json:"objective_ms"`
	Priority        int    `json:"priority"`
	Backend         string `json:"backend"`
	MaxAttempts     int    `json:"max_attempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	GapTargetMs     int    `json:"gap_target_ms,omitempty"`
}

type backend struct {
	Name           string         `json:"name"`
	HealthPath     string         `json:"health_path"`
	MaxConnections int            `json:"max_connections"`
	Protocol       string         `json:"protocol"`
	TLS            bool           `json:"tls"`
	Engine         map[string]any `json:"engine,omitempty"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// newTable returns a configuration whose routes all lead to one service.
func newTable(version int, service string) *table {
	add := func(path, kind string, attempts int, public bool) route {
		return route{
			Name: "r" + path, Hostname: host, PathPrefix: path, Kind: kind, TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 1,
			Backend: service, MaxAttempts: attempts, Public: public,
		}
	}
	return &table{
		Version: version,
		Routes:  []route{add(filePath, "non_idempotent", 1, false), add(lookPath, "idempotent", 2, false), add(openPath, "idempotent", 2, true)},
		Backends: []backend{
			{Name: desk, HealthPath: "/health", MaxConnections: 130, Protocol: "h1"},
			{Name: annex, HealthPath: "/health", MaxConnections: 130, Protocol: "h1"},
		},
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenant{{Name: "soweto", APIKeys: []string{callerKey, otherKey}, Priority: 1}},
	}
}

func (t *table) encode() []byte { return encodeBody(t) }
