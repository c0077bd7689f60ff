package caller_test

import (
	"fmt"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/table"
)

func ExampleSigner() {
	sg := caller.NewSigner("0123456789abcdef")
	token := sg.Token(caller.Session{ID: "s1", Service: "books", Pin: table.Pin{Instance: "w3", Epoch: 2}})
	ss, err := sg.ParseToken(token)
	fmt.Println(ss.Pin.Instance, err)
	_, err = caller.NewSigner("another-fleets-key").ParseToken(token)
	fmt.Println(err)
	// Output:
	// w3 <nil>
	// session token is not of this fleet
}

func ExampleKeyOf() {
	fmt.Println(caller.KeyOf("clerk7", "r1") == caller.KeyOf("clerk8", "r1"))
	// Output: false
}
