package naive

// Ledger maps each key to the token of the run that holds it. The records of started
// runs must be equivalent to it, whatever the store does.
type Ledger map[string]string

// Start acquires the key for the token if it is free, and reports whether the token
// holds it.
func (l Ledger) Start(key, token string) bool {
	if holder, ok := l[key]; ok {
		return holder == token
	}
	l[key] = token
	return true
}
