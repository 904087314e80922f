package lab

// InstanceID names one instance of the system; it comes from the instance's certificate.
type InstanceID string

// Instance describes a proxy or control process.
type Instance struct {
	ID               InstanceID `json:"id"                msgpack:"id"`
	Incarnation      uint64     `json:"incarnation"       msgpack:"inc"` // grows with every start of the process
	Region           string     `json:"region"            msgpack:"r"`
	AvailabilityZone string     `json:"availability_zone" msgpack:"z"`
	Address          string     `json:"address"           msgpack:"a"` // host:port of the transport between processes
}
