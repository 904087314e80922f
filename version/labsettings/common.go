package labsettings

// Common holds the settings that every process has.
type Common struct {
	Instance             string `json:"instance"`
	Region               string `json:"region"`
	AvailabilityZone     string `json:"availability_zone"`
	ProcessAddress       string `json:"process_address"`                  // for the system's own processes, UDP
	AnnounceAddress      string `json:"announce_address"`                 // HTTP, for upstreams that announce themselves
	MetricsAddress       string `json:"metrics_address,omitempty"`        // HTTP, 127.0.0.1:0 when left out
	KeysFolder           string `json:"keys_folder"`                      // certificates and token key
	UpstreamUser         string `json:"upstream_user"`                    // login at the upstreams
	UpstreamPasswordFile string `json:"upstream_password_file,omitempty"` // first line is the password
	LogLevel             string `json:"log_level,omitempty"`              // debug, info, warn or error
}

const defaultMetricsAddress = "127.0.0.1:0"

func (s *Common) defaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}

	if s.MetricsAddress == "" {
		s.MetricsAddress = defaultMetricsAddress
	}
}

func (s *Common) check(c *checks) {
	c.name("/instance", s.Instance)
	c.name("/region", s.Region)
	c.name("/availability_zone", s.AvailabilityZone)
	c.address("/process_address", s.ProcessAddress)
	c.address("/announce_address", s.AnnounceAddress)
	c.address("/metrics_address", s.MetricsAddress)
	c.required("/keys_folder", s.KeysFolder)
	c.required("/upstream_user", s.UpstreamUser)
	c.oneOf("/log_level", s.LogLevel, "debug", "info", "warn", "error")
}
