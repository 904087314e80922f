package labsettings

// Common holds the settings that control instances and proxies share.
type Common struct {
	Instance             string `json:"instance"`
	Region               string `json:"region"`
	AvailabilityZone     string `json:"availability_zone"`
	ProcessAddress       string `json:"process_address"`                  // host:port for the other processes, UDP
	AnnounceAddress      string `json:"announce_address"`                 // host:port for announcements of upstreams, HTTP
	MetricsAddress       string `json:"metrics_address,omitempty"`        // host:port of HTTP metrics, default 127.0.0.1:0
	KeysFolder           string `json:"keys_folder"`                      // folder with the certificates and the token key
	UpstreamUser         string `json:"upstream_user"`                    // user name at the upstreams
	UpstreamPasswordFile string `json:"upstream_password_file,omitempty"` // file whose first line is the password
	LogLevel             string `json:"log_level,omitempty"`              // lowest logged level: debug, info, warn, error
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
