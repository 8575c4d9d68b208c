package saddletemplate

// deployment is the deployment table of a template after substitution.
type deployment struct {
	Keys     []string `toml:"keys"` // hex SHA-256 of bearer keys
	Weight   uint32   `toml:"weight"`
	Priority int32    `toml:"priority"`
	Timeout  string   `toml:"timeout"` // duration with unit, such as "30s"
	Models   []grant  `toml:"models"`
	Services []grant  `toml:"services"`
}

// grant names a target group that the workspace may use.
type grant struct {
	Name    string `toml:"name"`
	Version string `toml:"version"`
}
