package naive

// Ledger is a map from key to the token of the run that holds it. It is what
// the started records must amount to, whatever the store does.
type Ledger map[string]string

// Start reports whether the token holds the key afterwards.
func (l Ledger) Start(key, token string) bool {
	if holder, ok := l[key]; ok {
		return holder == token
	}
	l[key] = token
	return true
}
