/** Starts the bundled program. */
import { readProgram } from './program'

readProgram().run()
