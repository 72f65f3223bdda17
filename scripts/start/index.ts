/** Starts the program as it was built. */
import { readProgram } from './program'

readProgram().run()
