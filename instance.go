package lab

// InstanceID identifies one instance of the system. It is the name in the instance's certificate.
type InstanceID string

// Instance describes a proxy or a control instance.
type Instance struct {
	ID               InstanceID `json:"id"                msgpack:"id"`
	Incarnation      uint64     `json:"incarnation"       msgpack:"inc"` // grows with each start of the process
	Region           string     `json:"region"            msgpack:"r"`
	AvailabilityZone string     `json:"availability_zone" msgpack:"z"`
	Address          string     `json:"address"           msgpack:"a"` // host:port for requests of other instances
}
