package links

// AskAny asks hosts at the same time whether they have links to endpoints. It returns as soon as one says that it
// has, and otherwise whether all have answered. ask must return in bounded time.
func AskAny(addrs []string, ask func(addr string) (linked bool, err error)) (linked, allAnswered bool) {
	type answer struct {
		linked bool
		err    error
	}
	answers := make(chan answer, len(addrs))
	for _, addr := range addrs {
		go func() {
			linked, err := ask(addr)
			answers <- answer{linked, err}
		}()
	}
	allAnswered = true
	for range addrs {
		a := <-answers
		if a.linked {
			return true, true
		}
		allAnswered = allAnswered && a.err == nil
	}
	return false, allAnswered
}
